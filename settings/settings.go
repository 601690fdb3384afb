// Package settings reads the settings of the daemons. A value comes from a
// flag, an environment variable, the INI file or the default, in this order of
// precedence. The caller passes the values of flags and environment variables to
// the Load functions as overrides. Every value is validated before the daemon
// starts. An error names the key with its file and section, or with its flag and
// environment variable, the value that was found and the allowed values. The
// package owns no state and takes no lock.
package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"celerypoint.example/celerypoint/placement"
)

// Entry holds the settings of the entry role.
type Entry struct {
	ID, Zone, Region string
	// RPCAddress is the address to listen on for agents and other entries. It
	// must contain a specific IP address of the VM, because agents and other
	// entries connect to the same address unless AdvertiseAddress is set.
	RPCAddress  string
	HTTPAddress string
	// AdvertiseAddress is the address that agents and other entries are given
	// to connect to; empty means RPCAddress.
	AdvertiseAddress string
	// Seeds are RPC addresses of other entries. The list may be empty.
	Seeds []string
	// LogURL is the base URL of the platform's log service.
	LogURL string

	Placement placement.Policy
	// UrgentQueue, NormalQueue and BatchQueue limit the number of waiting
	// requests of each urgency.
	UrgentQueue, NormalQueue, BatchQueue int
	// Workers is the number of goroutines in the worker pool.
	Workers int
	// MemoryMiB is the memory of the process in MiB.
	MemoryMiB int

	// The help texts of section [timing] in keys.go describe these durations.
	VMLostTimeout, PeerLostTimeout, HelloInterval time.Duration
	Reservation, GangLease, ConfirmInterval       time.Duration
	Reclaim, StopTimeout, BalancerDelay           time.Duration

	// LogLevel is the name of a log level of package logrus.
	LogLevel string
}

// Agent holds the settings of the agent role.
type Agent struct {
	VM, Zone, Rack, Region string
	// AnnounceTo lists the RPC addresses of entries to which the agent
	// announces its VM. It has at least one element.
	AnnounceTo []string
	Labels     map[string]string

	// The help texts of section [agent] in keys.go describe these numbers.
	Accelerators, Slots, Connections, CPUs, MemoryMiB int

	// RuntimeURL is the base URL of the worker runtime on this VM.
	RuntimeURL string

	// The help texts of section [timing] in keys.go describe these durations.
	AnnounceInterval, Reclaim, Checkpoint time.Duration
	AnswerRetention, StopTimeout          time.Duration

	// LogLevel is the name of a log level of package logrus.
	LogLevel string
}

// Key describes one setting. The parser, the flags, the environment variables
// and `celerypoint check --defaults` all use this description.
type Key struct {
	Section string `json:"section"`
	Name    string `json:"name"`
	// Default is the text that is used when no value is set. A key that has an
	// empty default and is not Optional must be set.
	Default  string `json:"default"`
	Optional bool   `json:"optional"`
	// Allowed describes the valid values for error messages and help texts.
	Allowed string `json:"allowed"`
	Help    string `json:"help"`
}

// Flag returns the name of the key's flag, without the dashes.
func (k Key) Flag() string { return k.Section + "." + k.Name }

// EnvVar returns the name of the key's environment variable.
func (k Key) EnvVar() string {
	return "CELERYPOINT_" + strings.ToUpper(k.Section+"_"+k.Name)
}

// binding connects a key to the field that it sets. set parses the value and
// reports whether it is allowed. The field is undefined if it is not.
type binding[S any] struct {
	Key
	set func(*S, string) bool
}

// EntryKeys lists the keys of entry.ini in the order of the file.
func EntryKeys() []Key { return keysOf(entryBindings) }

// AgentKeys lists the keys of agent.ini in the order of the file.
func AgentKeys() []Key { return keysOf(agentBindings) }

func keysOf[S any](bindings []binding[S]) []Key {
	keys := make([]Key, 0, len(bindings))
	for _, b := range bindings {
		keys = append(keys, b.Key)
	}
	return keys
}

// LoadEntry reads the settings of an entry. If path is empty, no file is read.
// overrides maps the flag name of a key, see Key.Flag, to a value that takes
// precedence over the file.
func LoadEntry(path string, overrides map[string]string) (Entry, error) {
	e, err := load(path, overrides, entryBindings)
	if err != nil {
		return Entry{}, err
	}
	if e.PeerLostTimeout+e.ConfirmInterval >= e.GangLease {
		return Entry{}, fmt.Errorf("%s: [timing] peerLostMs: found %d with confirmMs=%d, allowed: their sum below gangLeaseMs=%d, so that a gang survives its planner",
			source(path), e.PeerLostTimeout.Milliseconds(), e.ConfirmInterval.Milliseconds(), e.GangLease.Milliseconds())
	}
	return e, nil
}

// LoadAgent reads the settings of an agent; see LoadEntry.
func LoadAgent(path string, overrides map[string]string) (Agent, error) {
	a, err := load(path, overrides, agentBindings)
	if err != nil {
		return Agent{}, err
	}
	if a.Checkpoint >= a.Reclaim {
		return Agent{}, fmt.Errorf("%s: [timing] checkpointMs: found %d, allowed: below reclaimMs=%d, which includes it",
			source(path), a.Checkpoint.Milliseconds(), a.Reclaim.Milliseconds())
	}
	return a, nil
}

func source(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

func load[S any](path string, overrides map[string]string, bindings []binding[S]) (S, error) {
	var s S
	values, err := readFile(path, keysOf(bindings))
	if err != nil {
		return s, err
	}
	for name := range overrides {
		if !slices.ContainsFunc(bindings, func(b binding[S]) bool { return b.Flag() == name }) {
			return s, fmt.Errorf("--%s: found an unknown setting, allowed: the keys of `celerypoint check --defaults`", name)
		}
	}
	for _, b := range bindings {
		origin := fmt.Sprintf("%s: [%s] %s", source(path), b.Section, b.Name)
		value, found := values[b.Flag()]
		if v, ok := overrides[b.Flag()]; ok {
			value, found = v, true
			origin = fmt.Sprintf("--%s or %s", b.Flag(), b.EnvVar())
		}
		if !found {
			if value = b.Default; value == "" {
				if b.Optional {
					continue
				}
				return s, fmt.Errorf("%s: found none, allowed: %s", origin, b.Allowed)
			}
		}
		if !b.set(&s, value) {
			return s, fmt.Errorf("%s: found %.64q, allowed: %s", origin, value, b.Allowed)
		}
	}
	return s, nil
}

// maxFileBytes bounds a settings file.
const maxFileBytes = 64 << 10

func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	case len(text) > maxFileBytes:
		return nil, fmt.Errorf("%s: found more than %d bytes, allowed: at most %d", path, maxFileBytes, maxFileBytes)
	}
	return text, nil
}

// readFile returns the values of an INI file by flag name. Unknown sections,
// unknown keys and repeated keys are errors.
func readFile(path string, keys []Key) (map[string]string, error) {
	values := map[string]string{}
	if path == "" {
		return values, nil
	}
	text, err := readLimited(path)
	if err != nil {
		return nil, err
	}
	// With AllowShadows and AllowDuplicateShadowValues the library keeps every value of a
	// repeated key, so that the repetition can be reported.
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %.256s", path, err.Error())
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		var allowed []string
		for _, k := range keys {
			if k.Section == section.Name() {
				allowed = append(allowed, k.Name)
			}
		}
		if len(allowed) == 0 {
			return nil, fmt.Errorf("%s: [%.64s]: found an unknown section, allowed: %s", path, section.Name(), strings.Join(sections(keys), ", "))
		}
		for _, k := range section.Keys() {
			if !slices.Contains(allowed, k.Name()) {
				return nil, fmt.Errorf("%s: [%s] %.64s: found an unknown key, allowed: %s", path, section.Name(), k.Name(), strings.Join(allowed, ", "))
			}
			if n := len(k.ValueWithShadows()); n > 1 {
				return nil, fmt.Errorf("%s: [%s] %s: found %d values, allowed: one", path, section.Name(), k.Name(), n)
			}
			values[section.Name()+"."+k.Name()] = k.String()
		}
	}
	return values, nil
}

func sections(keys []Key) []string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.Section) {
			names = append(names, k.Section)
		}
	}
	return names
}
