package decide

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// How settings are read: nothing here chooses anything.

func (c *Coordinator) miss(name string) {
	c.missing = cmp.Or(c.missing, fmt.Errorf("setting %s is missing or unreadable", name))
}

// number is a setting, 0 where there is none; one that must be there is above 0.
func (c *Coordinator) number(name string, must bool) float64 {
	n := c.nth(name, 0, 0)
	if must && n <= 0 {
		c.miss(name)
	}
	return n
}

// nth is one of a list.
func (c *Coordinator) nth(name string, n int, absent float64) float64 {
	values := strings.Split(c.settings[name], ",")
	if n >= len(values) || values[n] == "" || values[n] == "-" {
		return absent
	}
	v, err := strconv.ParseFloat(values[n], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		c.miss(name)
	}
	return v
}

func (c *Coordinator) span(name string, must bool) time.Duration {
	return time.Duration(c.number(name, must)) * time.Microsecond
}
