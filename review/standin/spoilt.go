package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	spoiltFor     = 20 * time.Second // for which requests are sent
	spoiltClients = 8
	spoiltShare   = 0.02 // of the answers
	spoiltMissing = 8    // the length of a spoilt answer is 1 to so many bytes too short
)

// spoiltAnswers has replicas spoil a small share of their answers: the length of the frame does not fit what is sent. It
// counts the answers that clients were served with another value than the one made for their request.
func spoiltAnswers(played *run) (int, error) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(44, 1))
	draw := func() (delay time.Duration, missing int) {
		mu.Lock()
		defer mu.Unlock()
		delay = 20*time.Millisecond + time.Duration(random.IntN(30))*time.Millisecond
		if random.Float64() < spoiltShare {
			missing = 1 + random.IntN(spoiltMissing)
		}
		return delay, missing
	}
	var spoilt atomic.Int64
	handle := func(server *replica, received part) {
		delay, missing := draw()
		time.Sleep(delay)
		value := valueOf(received.text, received.shard)
		if !played.trouble || missing == 0 {
			server.answer(received, "OK", value)
			return
		}
		frame := replyFrame(received, "OK", value)
		length := binary.BigEndian.Uint32(frame)
		binary.BigEndian.PutUint32(frame, length-uint32(missing))
		spoilt.Add(1)
		played.record.note("replica %s spoils its answer to %s, value %s: its length says %d in place of %d",
			server.uid, received.id, value, length-uint32(missing), length)
		received.conn.write(frame, true)
	}
	if err := played.begin(6, smallDeployment, handle); err != nil {
		return 0, err
	}
	var wrong, served, others atomic.Int64
	var running sync.WaitGroup
	end := time.Now().Add(spoiltFor)
	for number := range spoiltClients {
		running.Go(func() {
			from := &client{addr: played.program.addr}
			defer from.close()
			for n := 0; time.Now().Before(end); n++ {
				shard := (number + n) % 12
				sent := &request{
					class: "address-check", id: fmt.Sprintf("%08x%08x", number+1, n), deadline: 3 * time.Second,
					shards: []int{shard, (shard + 1) % 12, (shard + 2) % 12, (shard + 3) % 12},
					text:   fmt.Sprintf("c41e%02x%02x", number, n%256),
				}
				played.record.note("client sends %s", sent.id)
				got, err := from.ask(sent, 5*time.Second)
				switch {
				case err != nil:
					others.Add(1)
					played.record.note("client got no answer to %s: %v", sent.id, err)
					continue
				case got.status != http.StatusOK:
					others.Add(1)
				case got.isRight(sent):
					served.Add(1)
				default:
					wrong.Add(1)
					played.record.say("WRONG: %s is served %s", sent.id, got.body)
				}
				played.record.note("client is answered %d to %s", got.status, sent.id)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	running.Wait()
	played.record.say("answers: %d served rightly, %d served wrongly, %d otherwise; %d answers of replicas spoilt",
		served.Load(), wrong.Load(), others.Load(), spoilt.Load())
	return int(wrong.Load()), nil
}
