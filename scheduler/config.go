package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// How settings are read: nothing here chooses anything.

func (c *Scheduler) miss(name string) {
	c.missing = cmp.Or(c.missing, fmt.Errorf("setting %s is missing or unreadable", name))
}

// number is a setting, 0 where there is none; one that must be there is above 0.
func (c *Scheduler) number(name string, must bool) float64 {
	n := c.nth(name, 0, 0)
	if must && n <= 0 {
		c.miss(name)
	}
	return n
}

// nth is one of a list.
func (c *Scheduler) nth(name string, n int, absent float64) float64 {
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

func (c *Scheduler) span(name string, must bool) time.Duration {
	return time.Duration(c.number(name, must)) * time.Microsecond
}

// read reads all settings.
func (c *Scheduler) read() {
	settings := c.settings
	c.balancers = max(1, int(c.number("balancers", true)))
	c.cells, c.reach = int(c.number("familyInfo.cells", true)), int(c.number("familyInfo.span", true))
	c.holdersByCell, c.asked, c.blank = make([][]*replicaState, c.cells), make([]float64, c.cells), 1
	c.quickest, c.self = math.MaxInt64, int(c.number("selfIndex", false))
	for n := range int(c.number("lanes.count", true)) {
		path := fmt.Sprintf("lanes.%d.", n)
		t := class{index: n, agreed: c.span(path+"aim", true), cutOff: c.span(path+"deadline", true),
			window: c.span(path+"window", false), stretch: c.number(path+"aimStretch", false),
			need: c.nth("familyInfo.classNeed", n, 1), fetch: int(c.nth("familyInfo.classFetch", n, 0)),
			effect: settings[path+"effect"], hintUnit: 1, longer: 1}
		t.floor = min(t.need, c.nth("familyInfo.leastShare", n, t.need))
		if !slices.Contains([]string{replayable, referenced, singleUse}, t.effect) {
			c.miss(path + "effect")
		}
		t.unit, c.quickest, c.slowest = scale(t.agreed, startUnit), min(c.quickest, t.agreed), max(c.slowest, t.cutOff)
		c.classes = append(c.classes, t)
	}
	c.zonePenalty = scale(c.quickest, c.number("tariffs.crossZone", false))
	c.tempo = min(1, float64(c.quickest)/float64(usualPace))
	c.unseen = 1 + unseenMore*max(0, math.Log(float64(c.balancers)/fewAlike))
	c.tells = settings["bounds.peers"] == "true" && c.balancers > 1
	c.sized = slices.Contains([]string{"nominal", "rough"}, settings["weightKind"])
	if c.unseen > 1 { // few see what is out themselves
		c.spreads = spreads
	}
	c.thrift = 1 / (1 + math.Pow(wasteWeighs*c.number("tariffs.waste", false), 2))
	c.copies = maxCopies * c.thrift
	c.maxAttempts = cmp.Or(int(c.number("bounds.maxAttempts", false)), math.MaxInt)
	c.mayCancel, c.mayCopy = settings["bounds.mayCancel"] == "true", settings["bounds.secondCopies"] == "true"
	if settings["bounds.retryAfter"] == "true" {
		c.maxReturn = c.span("bounds.maxRetryAfter", false)
	}
	c.ownZone = ZoneIndex(c.number("zone", false))
	c.tipMultiple = c.number("guarantees.tipMultiple", false)
	cold, budget := c.tipMultiple > 0, settings["guarantees.ratioSpan"]+settings["guarantees.extraRatio"] != ""
	c.startShare, c.warmAfter = c.number("guarantees.startCapacity", cold), c.span("guarantees.warmAfter", cold)
	c.tipOver, c.budgetSpan = c.span("guarantees.overloadFor", cold), c.span("guarantees.ratioSpan", budget)
	c.budgetShare = c.number("guarantees.extraRatio", budget)
	c.budgetFree = c.number("guarantees.minExtra", false)
	for n := range int(c.number("orgs.count", false)) {
		q := c.number(fmt.Sprintf("orgs.%d.quotaPerS", n), false)
		if !c.tells {
			q /= float64(c.balancers) // nobody tells what the others take
		}
		c.quota, c.allowance = append(c.quota, q), append(c.allowance, max(leastBurst, q*shareBurst))
	}
	if c.asks = settings["discovery"] == "subscribe"; !c.asks && settings["discovery"] != "automatic" {
		c.miss("discovery")
	}
	c.askEvery, c.askWait = cmp.Or(c.span("guarantees.askEvery", false), math.MaxInt64), askFirst
}
