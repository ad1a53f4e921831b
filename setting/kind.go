package setting

import (
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxSeeds is the largest number of seed addresses.
const maxSeeds = 32

// namePattern matches the names that are allowed for processes and failure
// domains.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// requiredName returns a setting for a name, which must be set. Here and in the
// functions below, the argument field returns the field that stores the value.
func requiredName(flag, usage string, field func(*Balancer) *string) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "name", Usage: usage,
		Allowed: "1 to 63 of a-z, 0-9, '-' and '.', with a letter or digit at both ends",
		apply: func(b *Balancer, value string) bool {
			*field(b) = value
			return namePattern.MatchString(value)
		},
	}
}

// listenAddress returns a setting for an address to listen on, which may have
// any IP, also 0.0.0.0 and ::.
func listenAddress(flag, usage, defaultValue string, field func(*Balancer) *netip.AddrPort) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "IP:port", Usage: usage, Default: defaultValue,
		Allowed: "an IP and a port from 1 to 65535",
		apply: func(b *Balancer, value string) bool {
			a, ok := parseAddress(value)
			*field(b) = a
			return ok
		},
	}
}

// dialAddress returns a setting for an address to which datagrams or connections
// are directed, so the IP must not be 0.0.0.0 or ::.
func dialAddress(flag, usage, defaultValue string, field func(*Balancer) *netip.AddrPort) Setting {
	s := listenAddress(flag, usage, defaultValue, field)
	s.Allowed = "an IP other than 0.0.0.0 and ::, and a port from 1 to 65535"
	s.apply = func(b *Balancer, value string) bool {
		a, ok := parseAddress(value)
		*field(b) = a
		return ok && !a.Addr().IsUnspecified()
	}
	return s
}

// parseAddress parses IP:port, and returns false if it is invalid or the port
// is 0. An IPv4-mapped IPv6 address becomes an IPv4 address.
func parseAddress(text string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// platformURL returns the setting for the base URL of the object API.
func platformURL(flag, usage, defaultValue string) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "URL", Usage: usage, Default: defaultValue,
		Allowed: "an http or https URL with a host, without query and fragment",
		apply: func(b *Balancer, value string) bool {
			u, err := url.Parse(value)
			if err != nil {
				return false
			}
			b.Platform = u
			return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" &&
				u.RawQuery == "" && u.Fragment == ""
		},
	}
}

// seeds returns the setting for the list of seed addresses.
func seeds(flag, usage string) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "IP:port list", Usage: usage,
		Allowed: fmt.Sprintf("empty, or up to %d addresses separated by commas", maxSeeds),
		apply: func(b *Balancer, value string) bool {
			if value == "" {
				return true
			}
			for part := range strings.SplitSeq(value, ",") {
				a, ok := parseAddress(strings.TrimSpace(part))
				if !ok || a.Addr().IsUnspecified() || len(b.Seeds) == maxSeeds {
					return false
				}
				b.Seeds = append(b.Seeds, a)
			}
			return true
		},
	}
}

// file returns a setting for the path of a file, which must be readable and not
// empty. The path may be empty.
func file(flag, usage string, field func(*Balancer) *string) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "path", Usage: usage,
		Allowed: "a readable file that is not empty, or no value on loopback",
		apply: func(b *Balancer, value string) bool {
			*field(b) = value
			return value == "" || isReadable(value)
		},
	}
}

// isReadable reports whether at least one byte can be read from a file.
func isReadable(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	_, err = io.ReadFull(f, make([]byte, 1))
	return err == nil
}

// choice returns a setting for one of several words.
func choice(flag, usage, defaultValue string, options []string, field func(*Balancer) *string) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "word", Usage: usage, Default: defaultValue,
		Allowed: "one of " + strings.Join(options, ", "),
		apply: func(b *Balancer, value string) bool {
			*field(b) = value
			return slices.Contains(options, value)
		},
	}
}

// count returns a setting for a whole number from minValue to maxValue.
func count(flag, unit, usage string, defaultValue, minValue, maxValue int, field func(*Balancer) *int) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: unit, Usage: usage, Default: strconv.Itoa(defaultValue),
		Allowed: fmt.Sprintf("a whole number from %d to %d", minValue, maxValue),
		apply: func(b *Balancer, value string) bool {
			n, err := strconv.Atoi(value)
			*field(b) = n
			return err == nil && n >= minValue && n <= maxValue
		},
	}
}

// duration returns a setting for a duration from minValue to maxValue.
func duration(flag, usage string, defaultValue, minValue, maxValue time.Duration, field func(*Balancer) *time.Duration) Setting {
	return Setting{
		Flag: flag, EnvVar: envVar(flag), Unit: "duration", Usage: usage, Default: defaultValue.String(),
		Allowed: fmt.Sprintf("a duration from %s to %s", minValue, maxValue),
		apply: func(b *Balancer, value string) bool {
			d, err := time.ParseDuration(value)
			*field(b) = d
			return err == nil && d >= minValue && d <= maxValue
		},
	}
}
