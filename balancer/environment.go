package balancer

import "fmt"

// environment is shared by all parts of a balancer: the current settings, the actions of the host, the only
// source of random numbers, and the counters.
type environment struct {
	settings   Settings
	actions    Actions
	random     splitMix64
	stats      Stats
	lastLogged map[string]Micros // instant of the latest line of each topic
}

// log writes a line for operators. It writes at most one line per second and topic, since there may be
// thousands of rejections.
func (env *environment) log(now Micros, topic, format string, args ...any) {
	if at, ok := env.lastLogged[topic]; ok && now-at < second {
		return
	}
	env.lastLogged[topic] = now
	env.actions.Log(fmt.Sprintf(format, args...))
}
