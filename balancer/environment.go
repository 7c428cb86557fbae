package balancer

import "fmt"

// environment is what all parts share: the settings in force, the host's actions, the only source of random numbers,
// and the counters.
type environment struct {
	settings   Settings
	actions    Actions
	random     splitMix64
	stats      Stats
	lastLogged map[string]Micros // instant of the latest line by topic
}

// log writes a line for on-call staff, at most one a second per topic, since there may be thousands of rejections.
func (env *environment) log(now Micros, topic, format string, args ...any) {
	if at, ok := env.lastLogged[topic]; ok && now-at < second {
		return
	}
	env.lastLogged[topic] = now
	env.actions.Log(fmt.Sprintf(format, args...))
}
