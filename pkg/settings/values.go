// ================================================================
// The kinds of values. Each kind has a function that returns a setter for Key: it parses a value,
// checks it and stores it in a field.
// ================================================================

package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/pkg/errors"
)

// Descriptions of the kinds of values, as docs/SETTINGS.md and errors show them.
const (
	kindText        = "a text"
	kindAddress     = "an address IP:PORT"
	kindAddressList = "a list of addresses IP:PORT"
	kindDuration    = "a duration such as 250ms, 2s or 5m"
	kindBytes       = "a size such as 64KiB or 1MiB"
	kindCount       = "a whole number above 0"
	kindNumber      = "a number of 0 or more"
	kindFile        = "the path of a file"
	kindFolder      = "the path of a folder"
	kindLabels      = "a mapping of label to value"
	kindRegions     = "a mapping of failure domain to region"
	kindFlag        = "true or false"
	kindURL         = "an address http://IP:PORT"
	kindProtocol    = "own, or the name of an adapter"
	kindServices    = "a mapping of service name to http://IP:PORT"
)

func text[T any](field func(*T) *string) func(*T, value) error {
	return func(t *T, v value) error {
		if v.text == "" {
			return errors.New("it is empty")
		}
		*field(t) = v.text
		return nil
	}
}

func address[T any](field func(*T) *string) func(*T, value) error {
	return func(t *T, v value) error {
		if err := checkAddress(v.text); err != nil {
			return err
		}
		*field(t) = v.text
		return nil
	}
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q is not a port number", port)
	}
	return nil
}

func addresses[T any](field func(*T) *[]string) func(*T, value) error {
	return func(t *T, v value) error {
		for _, item := range v.items {
			if err := checkAddress(item); err != nil {
				return err
			}
		}
		*field(t) = v.items
		return nil
	}
}

// MaxRolloutLimit is the upper bound of the setting weights.within. Control nodes keep publishing a
// version for as long as a process may wait for it, which this bound limits.
const MaxRolloutLimit = time.Hour

func duration[T any](least, most time.Duration, field func(*T) *time.Duration) func(*T, value) error {
	return func(t *T, v value) error {
		d, err := time.ParseDuration(v.text)
		if err != nil {
			return errors.Errorf("%q is not a duration", v.text)
		}
		if d < least || d > most {
			return errors.Errorf("%s is not between %s and %s", d, least, most)
		}
		*field(t) = d
		return nil
	}
}

func size[T any](least, most uint64, field func(*T) *int64) func(*T, value) error {
	return func(t *T, v value) error {
		n, err := humanize.ParseBytes(v.text)
		if err != nil {
			return errors.Errorf("%q is not a size", v.text)
		}
		if n < least || n > most {
			return errors.Errorf("%s is not between %s and %s", humanize.IBytes(n), humanize.IBytes(least), humanize.IBytes(most))
		}
		*field(t) = int64(n)
		return nil
	}
}

func count[T any](least, most int, field func(*T) *int) func(*T, value) error {
	return func(t *T, v value) error {
		n, err := strconv.Atoi(v.text)
		if err != nil {
			return errors.Errorf("%q is not a whole number", v.text)
		}
		if n < least || n > most {
			return errors.Errorf("%d is not between %d and %d", n, least, most)
		}
		*field(t) = n
		return nil
	}
}

// number parses a number that may have a fraction.
func number[T any](least, most float64, field func(*T) *float64) func(*T, value) error {
	return func(t *T, v value) error {
		n, err := strconv.ParseFloat(v.text, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", v.text)
		}
		// The negated form also rejects NaN.
		if !(n >= least && n <= most) {
			return errors.Errorf("%v is not between %v and %v", n, least, most)
		}
		*field(t) = n
		return nil
	}
}

func flag[T any](field func(*T) *bool) func(*T, value) error {
	return func(t *T, v value) error {
		b, err := strconv.ParseBool(v.text)
		if err != nil {
			return errors.Errorf("%q is not true or false", v.text)
		}
		*field(t) = b
		return nil
	}
}

func pairs[T any](field func(*T) *map[string]string) func(*T, value) error {
	return func(t *T, v value) error {
		if v.pairs == nil {
			return errors.New("it is not a mapping")
		}
		*field(t) = v.pairs
		return nil
	}
}
