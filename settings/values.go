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

// What the parsers of this file allow, in words.
const (
	nameAllowed  = "letters, digits, '.', '_' and '-'"
	rpcAllowed   = "IP:PORT with one IP address of this VM; port 0 takes a free one"
	httpAllowed  = "IP:PORT; port 0 takes a free one"
	listAllowed  = "IP:PORT, separated by commas"
	urlAllowed   = "a URL such as http://10.0.0.1:7000"
	spanAllowed  = "1 to 86400000"
	queueAllowed = "1 to 1048576"
)

// namePattern leaves out "~" and "/", which separate the parts of job and
// object identifiers.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

func name[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return namePattern.MatchString(value)
	}
}

// address accepts an address to listen on. An address that other processes
// connect to must not be unspecified.
func address[S any](field func(*S) *string, unspecified bool) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		a, err := netip.ParseAddrPort(value)
		return err == nil && (unspecified || !a.Addr().IsUnspecified())
	}
}

// target accepts an address to connect to.
func target[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return connectable(value)
	}
}

func connectable(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func addresses[S any](field func(*S) *[]string) func(*S, string) bool {
	return func(s *S, value string) bool {
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if !connectable(part) {
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

func number[S any](field func(*S) *int, low, high int) func(*S, string) bool {
	return func(s *S, value string) bool {
		n, err := strconv.Atoi(value)
		*field(s) = n
		return err == nil && n >= low && n <= high
	}
}

// span accepts milliseconds, up to a day.
func span[S any](field func(*S) *time.Duration) func(*S, string) bool {
	return func(s *S, value string) bool {
		ms, err := strconv.Atoi(value)
		*field(s) = time.Duration(ms) * time.Millisecond
		return err == nil && ms >= 1 && ms <= 86_400_000
	}
}

func choice[S any, T ~string](field func(*S) *T, allowed ...T) func(*S, string) bool {
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

// seconds accepts seconds with a fraction, up to a day.
func seconds[S any](field func(*S) *time.Duration) func(*S, string) bool {
	return func(s *S, value string) bool {
		n, err := strconv.ParseFloat(value, 64)
		*field(s) = time.Duration(n * float64(time.Second))
		return err == nil && n >= 0.5 && n <= 86_400
	}
}

// ports accepts the first and the last port of a range of at least two.
func ports(value string, field *[]int) bool {
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
