package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Descriptions of the values that the parsers in this file allow.
const (
	nameAllowed       = "at most 128 letters, digits, '.', '_' and '-'"
	rpcAllowed        = "IP:PORT with one IP address of this VM; port 0 selects a free port"
	httpAllowed       = "IP:PORT; port 0 selects a free port"
	listAllowed       = "IP:PORT, separated by commas"
	urlAllowed        = "a URL such as http://10.0.0.1:7000"
	durationMsAllowed = "1 to 86400000"
	queueAllowed      = "1 to 1048576"
)

// namePattern excludes "~", which separates the parts of a job ID, and "/", which
// separates the kind and the name of an object of the configuration. Names are parts of
// keys in the store, which have at most 255 bytes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

func name[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return namePattern.MatchString(value)
	}
}

// optionalName accepts a name or nothing.
func optionalName[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return value == "" || namePattern.MatchString(value)
	}
}

// listenAddress accepts an address to listen on. If unspecified is false, it
// rejects 0.0.0.0 and ::, to which other processes cannot connect.
func listenAddress[S any](field func(*S) *string, unspecified bool) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		a, err := netip.ParseAddrPort(value)
		return err == nil && (unspecified || !a.Addr().IsUnspecified())
	}
}

// connectAddress accepts an address that other processes can connect to: neither
// its IP address nor its port may be zero.
func connectAddress[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return isConnectable(value)
	}
}

func isConnectable(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func connectAddresses[S any](field func(*S) *[]string) func(*S, string) bool {
	return func(s *S, value string) bool {
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if !isConnectable(part) {
				return false
			}
			*field(s) = append(*field(s), part)
		}
		return true
	}
}

func baseURL[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = strings.TrimSuffix(value, "/")
		u, err := url.Parse(value)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
	}
}

func intBetween[S any](field func(*S) *int, low, high int) func(*S, string) bool {
	return func(s *S, value string) bool {
		n, err := strconv.Atoi(value)
		*field(s) = n
		return err == nil && n >= low && n <= high
	}
}

// durationMs accepts an integer number of milliseconds from 1 ms to one day.
func durationMs[S any](field func(*S) *time.Duration) func(*S, string) bool {
	return func(s *S, value string) bool {
		ms, err := strconv.Atoi(value)
		*field(s) = time.Duration(ms) * time.Millisecond
		return err == nil && ms >= 1 && ms <= 86_400_000
	}
}

func oneOf[S any, T ~string](field func(*S) *T, allowed ...T) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = T(value)
		return slices.Contains(allowed, T(value))
	}
}

func labels[S any](field func(*S) *map[string]string) func(*S, string) bool {
	return func(s *S, value string) bool {
		all := map[string]string{}
		for part := range strings.SplitSeq(value, ",") {
			key, text, ok := strings.Cut(strings.TrimSpace(part), "=")
			if _, twice := all[key]; !ok || twice || !namePattern.MatchString(key) || !namePattern.MatchString(text) {
				return false
			}
			all[key] = text
		}
		*field(s) = all
		return true
	}
}

// durationSeconds accepts a decimal number of seconds from 0.5 s to one day.
func durationSeconds[S any](field func(*S) *time.Duration) func(*S, string) bool {
	return func(s *S, value string) bool {
		n, err := strconv.ParseFloat(value, 64)
		*field(s) = time.Duration(n * float64(time.Second))
		return err == nil && n >= 0.5 && n <= 86_400
	}
}

// portRange accepts FIRST,LAST, a range of at least two ports, and appends all
// its ports to field.
func portRange(value string, field *[]int) bool {
	first, last, found := strings.Cut(value, ",")
	low, errLow := strconv.Atoi(strings.TrimSpace(first))
	high, errHigh := strconv.Atoi(strings.TrimSpace(last))
	if !found || errLow != nil || errHigh != nil || low < 1 || high <= low || high > 65535 {
		return false
	}
	for port := low; port <= high; port++ {
		*field = append(*field, port)
	}
	return true
}
