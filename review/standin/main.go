package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
)

// Exit statuses of a scenario.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// run is one run of a scenario.
type run struct {
	record  *recorder
	trouble bool // false: everything but the disruption
	program *coordinator
	lists   *agent
}

// scenarios return how often the rule was broken.
var scenarios = map[string]func(*run) (int, error){
	"spoilt": spoiltAnswers,
	"window": keyedRepeats,
	"drain":  drainInStall,
}

// A scenario is started from the root of the repository with its name and the path of its record.
func main() {
	runtime.LockOSThread() // the co-ordinator is killed when the thread that started it ends
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin SCENARIO RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.close()
	played := &run{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.note("scenario %s, trouble %t", name, played.trouble)
	breaks, err := scenarios[name](played)
	if played.program != nil {
		if err == nil && played.program.ended() {
			err = errors.New("the co-ordinator ended by itself")
		}
		played.program.stop(record)
	}
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return cannotRun
	case breaks > 0:
		record.say("the rule was broken %d times", breaks)
		return broken
	}
	record.say("the rule held")
	return held
}

// begin starts the replicas, one for each cell, the agent and the co-ordinator.
func (played *run) begin(cells int, settings string, handle func(*replica, part)) error {
	var replicas []*replica
	for cell := range cells {
		server, err := newReplica(fmt.Sprintf("s-%08x", 0x5be2a070+cell), cell, played.record, handle)
		if err != nil {
			return err
		}
		replicas = append(replicas, server)
	}
	return played.start(replicas, settings)
}

// start starts the agent and the co-ordinator.
func (played *run) start(replicas []*replica, settings string) (err error) {
	if played.lists, err = newAgent(played.record, replicas); err != nil {
		return err
	}
	played.program, err = startCoordinator(played.lists, settings)
	return err
}

// smallDeployment are settings of the kind that the operators' small deployment of colombo-zonemap has: six replicas in
// a ring, each shard held by three of them.
const smallDeployment = `{"balancers":3,"selfIndex":0,"serviceType":"fanout","discovery":"automatic","zone":0,
"zones":["kolonnawa"],"weightKind":"rough","worthBy":"request","tick":5000,"tier":0,"layers":["zone-boxes"],
"kinds":["std-2core"],"report":{"source":"inline","fields":["active","rps","cpu"]},
"bounds":{"maxAttempts":3,"mayCancel":true,"secondCopies":true,"peers":false,"probes":false,"retryAfter":false,
"maxRetryAfter":500000,"multiplex":32,"idleClose":30000000,"connectTimeout":250000,"maxOpen":400,
"cpuUsPerS":400000,"cpuUsPerRequest":0.0},
"familyInfo":{"cells":6,"span":3,"ranges":12,"batch":1,"callCost":0,"classNeed":[1.0,1.0,1.0],
"classFetch":[0,0,0],"leastShare":[1.0,1.0,1.0],"partialEarns":[0.0,0.0,0.0]},
"guarantees":{"answerSlack":50000,"stopSendingWithin":1000000,"tipMultiple":4.0,"startCapacity":0.17,
"warmAfter":15000000,"overloadFor":1500000,"extraRatio":0.2,"minExtra":20,"ratioSpan":10000000},
"tariffs":{"crossZone":0.018,"waste":0.03,"lateFail":0.021,"connection":0.02},
"clients":{"marksRetry":true},"orgs":[],
"lanes":[
{"name":"coverage-report","aim":2500000,"deadline":6000000,"effect":"pure","worth":5.0,"lateWorth":0.3},
{"name":"address-check","aim":1500000,"deadline":4000000,"effect":"pure","worth":1.0,"lateWorth":0.1},
{"name":"rider-claim","aim":1500000,"deadline":3000000,"effect":"side_effect","worth":1.0,"lateWorth":0.1}]}`
