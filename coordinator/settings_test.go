package coordinator

import (
	"io"
	"log"
	"maps"
	"strings"
	"testing"
)

// settingsPairs is settingsJSON in the simulator's format.
const settingsPairs = "balancers=3\tbounds.connectTimeout=250000\tbounds.cpuUsPerRequest=0.0\tbounds.mayCancel=true\t" +
	"bounds.retryAfter=false\tdiscovery=automatic\tfamilyInfo.cells=2\tfamilyInfo.classFetch=0,0\t" +
	"familyInfo.classNeed=1.0,0.5\tfamilyInfo.ranges=24\tfamilyInfo.span=1\tkinds=std_2core\tlanes.count=2\t" +
	"lanes.0.aim=2500000\tlanes.0.deadline=6000000\tlanes.0.effect=pure\tlanes.0.name=look\tlanes.1.aim=1500000\t" +
	"lanes.1.deadline=3000000\tlanes.1.effect=side_effect\tlanes.1.name=claim\torgs.count=1\torgs.0.name=a_b\t" +
	"orgs.0.share=0.47\treport.fields=\tzone=0\tzones=west,east"

func TestFlattenMatchesSimulatorFormat(t *testing.T) {
	want := map[string]string{}
	for pair := range strings.SplitSeq(settingsPairs, "\t") {
		name, value, _ := strings.Cut(pair, "=")
		want[name] = value
	}
	got, err := Flatten([]byte(settingsJSON))
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("%v\n%v\nwant %v", err, got, want)
	}
	for _, bad := range []string{"", "{", "[]", "{} {}"} {
		if _, err := Flatten([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// startWith creates a coordinator with the settings in settingsJSON after replacing some text in them.
func startWith(t *testing.T, old, new string) error {
	text := strings.Replace(settingsJSON, old, new, 1)
	if text == settingsJSON && old != new {
		t.Fatalf("settingsJSON does not contain %s", old)
	}
	d := newDeployment(t)
	var err error
	d.settings, err = Flatten([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(d, log.New(io.Discard, "", 0))
	if err == nil {
		c.replicas.Stop()
	}
	return err
}

// A setting with which nothing could be served must be reported in one line. Otherwise a process would start and serve
// nothing, or panic.
func TestUnusableSettingsAreRejectedInOneLine(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"connectTimeout":250000`, `"connectTimeout":0`, "bounds.connectTimeout"},
		{`"connectTimeout":250000`, `"connectTimeout":"soon"`, "bounds.connectTimeout"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxOpen":0`, "bounds.maxOpen"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxOpen":-5`, "bounds.maxOpen"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"multiplex":0`, "bounds.multiplex"},
		{`"connectTimeout":250000`, `"connectTimeout":1,"maxAttempts":0`, "bounds.maxAttempts"},
		{`"discovery"`, `"guarantees":{"askEvery":-1},"discovery"`, "guarantees.askEvery"},
		{`"cells":2`, `"cells":-1`, "familyInfo.cells"},
		{`"cells":2`, `"cells":1e12`, "familyInfo.cells"},
		{`"span":1`, `"span":-2`, "familyInfo.span"},
		{`"name":"claim"`, `"name":"look"`, "lanes.1.name"},
		{`"name":"claim"`, `"name":""`, "lanes.1.name"},
		{`"name":"claim"`, `"name":"a/b"`, "lanes.1.name"},
		{`"deadline":3000000`, `"deadline":0`, "lanes.1.deadline"},
		{`"effect":"side_effect"`, `"effect":"magic"`, "lanes.1.effect"},
	} {
		err := startWith(t, c.old, c.new)
		if err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}

// The process must start with the settings of other deployments.
func TestSettingsOfOtherDeploymentsAreAccepted(t *testing.T) {
	for _, c := range []struct{ old, new string }{
		{`"deadline":3000000`, `"deadline":300000`},
		{`"aim":1500000`, `"aim":100000`},
		{`"automatic"`, `"subscribe"`},
		{`"connectTimeout":250000,`, ``},
		{`"effect":"side_effect"`, `"effect":"token","window":400000`},
		{`"zones":["west","east"]`, `"zones":["a","b","c","d","e"]`},
		{`"name":"claim"`, `"name":"lao-broneering"`},
		{`"cells":2`, `"cells":200`},
		{`"discovery"`, `"guarantees":{"stopSendingWithin":50000},"discovery"`},
		{`"connectTimeout":250000`, `"connectTimeout":20000,"maxAttempts":1,"secondCopies":false,"multiplex":1,"idleClose":500000`},
	} {
		if err := startWith(t, c.old, c.new); err != nil {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}
