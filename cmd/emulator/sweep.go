package main

import "github.com/spf13/cobra"

func newSweepCommand() *cobra.Command  { return &cobra.Command{Use: "sweep"} }
func newReportCommand() *cobra.Command { return &cobra.Command{Use: "report"} }
