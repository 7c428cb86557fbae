package registry

import (
	"encoding/json"
	"net/http"

	"oakproxy/internal/emulator/httpconn"
)

// Health values of an Instance.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone" // only among changes
)

// Instance is an endpoint as the registry tells of it.
type Instance struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"`
	Health string  `json:"health"`
	Share  float32 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// message is the body of an answer.
type message struct {
	Seq   uint64     `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Instance `json:"hosts"`
}

// change is what one version changed.
type change struct {
	seq       uint64
	instances []Instance
}

// answer is an encoded answer and its kind.
type answer struct {
	bytes []byte
	kind  answerKind
}

type answerKind int

const (
	wholeAnswer answerKind = iota
	changedAnswer
	emptyAnswer
)

// list holds the instances, their version, and the changes of recent versions.
// It encodes each answer once per version. It is not safe for concurrent use.
type list struct {
	seq          uint64
	names        []string // in the order in which they first came
	byName       map[string]Instance
	history      []change // without gaps, up to seq
	historyLimit int
	whole        *answer            // nil until it is asked for
	changed      map[uint64]*answer // by the version they are newer than
}

func newList(historyLimit int) *list {
	return &list{byName: map[string]Instance{}, historyLimit: historyLimit, changed: map[uint64]*answer{}}
}

// set replaces all instances. There are no changes from an earlier version to this one.
func (l *list) set(instances []Instance) {
	l.advance()
	l.history = nil
	l.names = l.names[:0]
	clear(l.byName)
	for _, instance := range instances {
		l.put(instance)
	}
}

// update makes one version of the changes.
func (l *list) update(changes []Instance) {
	l.advance()
	for _, instance := range changes {
		l.put(instance)
	}
	l.history = append(l.history, change{seq: l.seq, instances: append([]Instance(nil), changes...)})
	if excess := len(l.history) - l.historyLimit; excess > 0 {
		l.history = append([]change(nil), l.history[excess:]...)
	}
}

func (l *list) advance() {
	l.seq++
	l.whole = nil
	clear(l.changed)
}

func (l *list) put(instance Instance) {
	_, known := l.byName[instance.Host]
	if instance.Health == Gone {
		l.remove(instance.Host)
		return
	}
	if !known {
		l.names = append(l.names, instance.Host)
	}
	l.byName[instance.Host] = instance
}

func (l *list) remove(name string) {
	delete(l.byName, name)
	for i, other := range l.names {
		if other == name {
			l.names = append(l.names[:i], l.names[i+1:]...)
			return
		}
	}
}

// wholeList returns the answer that holds every instance.
func (l *list) wholeList() *answer {
	if l.whole == nil {
		hosts := make([]Instance, 0, len(l.names))
		for _, name := range l.names {
			hosts = append(hosts, l.byName[name])
		}
		l.whole = &answer{encode(message{Seq: l.seq, Whole: true, Hosts: hosts}), wholeAnswer}
	}
	return l.whole
}

// newerThan returns what a watch from that version is answered: the entries that
// changed, or the whole list if the history does not reach back to the version.
func (l *list) newerThan(after uint64) *answer {
	if !l.reaches(after) {
		return l.wholeList()
	}
	if known, ok := l.changed[after]; ok {
		return known
	}
	hosts := l.changesSince(after)
	kind := changedAnswer
	if len(hosts) == 0 {
		kind = emptyAnswer
	}
	made := &answer{encode(message{Seq: l.seq, Hosts: hosts}), kind}
	l.changed[after] = made
	return made
}

// reaches says whether the history holds every change since a version.
func (l *list) reaches(after uint64) bool {
	return after <= l.seq && after+uint64(len(l.history)) >= l.seq
}

// changesSince returns the latest entry of each instance that changed since a version.
func (l *list) changesSince(after uint64) []Instance {
	hosts := []Instance{}
	position := map[string]int{}
	for _, version := range l.history {
		if version.seq <= after {
			continue
		}
		for _, instance := range version.instances {
			if at, seen := position[instance.Host]; seen {
				hosts[at] = instance
				continue
			}
			position[instance.Host] = len(hosts)
			hosts = append(hosts, instance)
		}
	}
	return hosts
}

func encode(body message) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		// Only a share that is no number can't be encoded.
		panic("registry: " + err.Error())
	}
	return httpconn.AppendAnswer(nil, http.StatusOK, encoded, httpconn.Field{Name: "Content-Type", Value: "application/json"})
}
