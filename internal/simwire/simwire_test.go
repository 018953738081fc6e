package simwire

import (
	"strings"
	"testing"
)

const provision = "PROVISION\t7\tbalancers=1\tlanes.count=1\tlanes.0.aim=1000000\tlanes.0.deadline=3000000\t" +
	"lanes.0.effect=pure\tfamilyInfo.cells=1\tfamilyInfo.span=1\tdiscovery=automatic\tbounds.maxAttempts=3\tbounds.secondCopies=true\n"

const endpoints = "REGISTER\t0\t1\nITEM\t900\t1\tactive\t-\t0\t0\t0\nREGISTRY\t0\trestored\t1\n"

const start = "MARK\t1000000\t1\nINSTANCE\t4\n" + provision + endpoints + "FLUSH\n"

// query is the arrival of a query with one subquery.
const query = "DEMAND\t10\t0\t-\tk\t2000000\t-\t5\t-1\t1\t0\t0\nDEMAND\t11\t0\t-\tk\t2000000\t-\t5\t0\t1\t0\t0\n"

func TestReplies(t *testing.T) {
	for name, test := range map[string]struct{ input, want string }{
		"no input":    {"", ""},
		"empty batch": {"MARK\t5\t1\nFLUSH\n", "NEXT\t1\n"},
		"a subquery is sent": {start + "MARK\t1100000\t2\nINSTANCE\t4\n" + query + "FLUSH\n",
			"NEXT\t1\nON_BEHALF\t4\nSUBMIT_TO\t11\t900\t0\nNOTIFY_ME\tlook\t10000\nNEXT\t2\n"},
		"its answer ends the query": {start + "MARK\t1100000\t2\nINSTANCE\t4\n" + query + "FLUSH\n" +
			"MARK\t1200000\t3\nINSTANCE\t4\nFINISHED\t11\t0\t900\t1\t0\t100000\tactive:3,new_key:0.5\nFLUSH\n",
			"NEXT\t1\nON_BEHALF\t4\nSUBMIT_TO\t11\t900\t0\nNOTIFY_ME\tlook\t10000\nNEXT\t2\n" +
				"ON_BEHALF\t4\nASSEMBLE\t10\t1\nNEXT\t3\n"},
		"unknown ids are ignored": {start + "MARK\t1100000\t2\nINSTANCE\t4\nLAPSED\t77\nWAKE\told\n" +
			"FINISHED\t88\t9\t900\t1\t0\t0\t-\nPROBE_DONE\t1400\t0\t900\t-\n" +
			"FIRST\t88\t900\t0\t10\nFLUSH\n", "NEXT\t1\nNEXT\t2\n"},
		"malformed gossip is logged": {start + "MARK\t1100000\t2\nINSTANCE\t4\nPEER_DATA\t2\taGkgNw==\nFLUSH\n",
			"NEXT\t1\nON_BEHALF\t4\nEMIT\tco-ordinator 2: gossip message: length: found 4, wanted more than 5 and at most 256\nNEXT\t2\n"},
		"attempts are broadcast if gossip is allowed": {strings.Replace(start, "balancers=1", "balancers=40\tbounds.peers=true", 1) +
			"MARK\t1100000\t2\nINSTANCE\t4\n" + query + "FLUSH\n",
			"NEXT\t1\nON_BEHALF\t4\nSUBMIT_TO\t11\t900\t0\nPOST\tall\tqAEDIAAB\nNOTIFY_ME\tlook\t10000\nNEXT\t2\n"},
		"stop and start in one batch": {start + "MARK\t1100000\t2\nINSTANCE\t4\n" + query + "EXIT\n" + provision + endpoints +
			"FLUSH\n", "NEXT\t1\nNEXT\t2\n"},
		"a list number is reused within a batch": {"MARK\t1000000\t1\nINSTANCE\t4\n" + provision + endpoints +
			"REGISTER\t0\t1\nITEM\t901\t1\tactive\t-\t0\t0\t0\nREGISTRY\t0\treplace\t2\n" + query + "FLUSH\n",
			"ON_BEHALF\t4\nSUBMIT_TO\t11\t901\t0\nNOTIFY_ME\tlook\t10000\nNEXT\t1\n"},
		"missing setting": {"MARK\t1\t1\nINSTANCE\t4\nPROVISION\t7\tbalancers=1\nFLUSH\n",
			"ON_BEHALF\t4\nEXCEPTION\tsetting familyInfo.cells: found nothing, wanted a number of at least 1\nNEXT\t1\n"},
		"a panic is reported": {start + "MARK\t1100000\t2\nINSTANCE\t4\nDEMAND\t10\t6\t-\tk\t2000000\t-\t5\t-1\t1\t0\t0\nFLUSH\n",
			"NEXT\t1\nON_BEHALF\t4\nEXCEPTION\truntime error: index out of range [6] with length 1\nNEXT\t2\n"},
	} {
		var output strings.Builder
		if err := Serve(strings.NewReader(test.input), &output); err != nil || output.String() != test.want {
			t.Errorf("%s: %v\n%s\nwant\n%s", name, err, output.String(), test.want)
		}
	}
}

func TestMalformedInputIsRejected(t *testing.T) {
	batch := func(lines string) string { return start + "MARK\t1100000\t2\nINSTANCE\t4\n" + lines + "\nFLUSH\n" }
	for input, want := range map[string]string{
		"HELLO\t1\n":                                            "line 1: HELLO: message outside a batch",
		"MARK\tx\t1\nFLUSH\n":                                   `line 1: MARK: field clock: "x" is not an integer`,
		"MARK\t5\t1\n":                                          "line 1: input ends inside a batch",
		"MARK\t5\t1\nFLU":                                       "line 2: input ends inside a line",
		"MARK\t5\t1\nWAKE\tlook\nFLUSH\n":                       "line 2: WAKE: no instance is selected",
		"MARK\t5\t1\nBOO\nFLUSH\n":                              "line 2: BOO: unknown message",
		"MARK\t5\t1\nINSTANCE\nFLUSH\n":                         "line 2: INSTANCE: field co-ordinatorId is missing",
		"MARK\t5\t1\nREGISTER\t0\t2\nFLUSH\n":                   "line 3: FLUSH: expected an ITEM of the list",
		"MARK\t5\t1\nREGISTER\t0\t-3\nFLUSH\n":                  "line 2: REGISTER: field records: negative count -3",
		"MARK\t5\t1\nINSTANCE\t1\nPROVISION\t7\tab\nFLUSH\n":    `line 3: PROVISION: field setup: "ab" is not a path=value pair`,
		batch("LAPSED"):                                         "line 10: LAPSED: field requestId is missing",
		batch("LAPSED\t99999999999"):                            "line 10: LAPSED: field requestId: 99999999999 is not an id",
		batch("FINISHED\t1\t77\t900\t1\t0\t5\t-"):               "line 10: FINISHED: field disposition: unknown value 77",
		batch("FINISHED\t1\t0\t900\t2\t0\t5\t-"):                `line 10: FINISHED: field closed: "2" is neither 0 nor 1`,
		batch("FINISHED\t1\t0\t900\t1\t0\t5\tactive"):           `line 10: FINISHED: field pressure: "active" is not a name:value pair`,
		batch("REGISTRY\t3\treplace\t1"):                        "line 10: REGISTRY: field page: unknown list 3",
		batch("REGISTRY\t0\tsome\t1"):                           `line 10: REGISTRY: field form: unknown value "some"`,
		batch("PEER_DATA\t2\t!!"):                               "line 10: PEER_DATA: field msg: invalid base64",
		batch("DEMAND\t10\t0\t-\tk\t9\t-\t5\tone\t1\t0\t0"):     `line 10: DEMAND: field segmentNo: "one" is not a number`,
		batch("REGISTER\t0\t1\nITEM\t9\t1\tasleep\t-\t0\t0\t0"): "line 11: ITEM: field lifecycle: unknown value",
		batch("REGISTER\t0\t1\nITEM\t9\t1\tactive\t-\tx\t0\t0"): `line 11: ITEM: field cell: "x" is not an integer`,
		batch("PROBE_DONE\t1400\t0\t900\tcpu:high"):             `line 10: PROBE_DONE: field pressure: "cpu:high" is not a name:value pair`,
		batch("PROBE_DONE\t1400\t0\t900"):                       "line 10: PROBE_DONE: field pressure is missing",
	} {
		var output strings.Builder
		err := Serve(strings.NewReader(input), &output)
		if err == nil || err.Error() != want {
			t.Errorf("%q: %v\nwant %s", input, err, want)
		}
		if s := strings.TrimPrefix(output.String(), "NEXT\t1\n"); s != "" {
			t.Errorf("%q: wrote %q", input, s)
		}
	}
}
