package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"terntray/twophase"
)

// The wire of questions, as docs/phases.md states it: what a box is asked stands before the query's text, what it says
// is the value of its reply. Both are JSON; what they hold beyond what is known is a mistake.

const mostHits = 100_000 // that a box may say it has; more is no count

// asking is the line before the text.
type asking struct {
	Ask     string           `json:"ask"`            // summary or answer
	Best    *int             `json:"best,omitempty"` // so many by score; absent: all that match
	Version twophase.Version `json:"version,omitempty"`
}

// CanMatchRequest is what a box is asked for its block's summary.
func CanMatchRequest(q *TwoPhaseQuery, text []byte) []byte {
	return askWith(asking{Ask: "summary", Best: q.Best}, text)
}

// FetchRequest is what it is asked for its part of the answer; the version is that of the summary that was used, if any was.
func FetchRequest(q *TwoPhaseQuery, v twophase.Version, text []byte) []byte {
	return askWith(asking{Ask: "answer", Best: q.Best, Version: v}, text)
}

func askWith(a asking, text []byte) []byte {
	line, _ := json.Marshal(a) // strings and numbers always encode
	return append(append(line, '\n'), text...)
}

// ReadSummary reads a box's summary; what cannot be used is an error.
func ReadSummary(value []byte) (twophase.Summary, error) {
	var s struct {
		Version twophase.Version `json:"version"`
		Count   *int             `json:"count"`
		Upper   *float64         `json:"upper"` // absent: not known
		Lower   *float64         `json:"lower"`
	}
	if err := strictly(value, &s); err != nil {
		return twophase.Summary{}, err
	}
	if s.Version == "" || s.Count == nil || *s.Count < 0 || *s.Count > mostHits {
		return twophase.Summary{}, errors.New("no version, or no count")
	}
	out := twophase.Summary{Version: s.Version, Count: *s.Count, Upper: math.Inf(1), Lower: math.Inf(-1)}
	if s.Upper != nil {
		out.Upper = *s.Upper
	}
	if s.Lower != nil {
		out.Lower = *s.Lower
	}
	return out, nil
}

// ReadAnswer reads a box's part of an answer.
func ReadAnswer(shard int, value []byte) (twophase.Answer, error) {
	var a struct {
		Version twophase.Version `json:"version"`
		Hits    []struct {
			ID    string  `json:"id"`
			Score float64 `json:"score"`
		} `json:"hits"`
	}
	if err := strictly(value, &a); err != nil {
		return twophase.Answer{}, err
	}
	out := twophase.Answer{Version: a.Version}
	for _, h := range a.Hits {
		out.Hits = append(out.Hits, twophase.Hit{Shard: twophase.Shard(shard), ID: h.ID, Score: h.Score})
	}
	return out, nil
}

func strictly(value []byte, into any) error {
	in := json.NewDecoder(bytes.NewReader(value))
	in.DisallowUnknownFields()
	if err := in.Decode(into); err != nil {
		return err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("more behind it")
	}
	return nil
}

// HitsResponse makes the response to a question whose answer is whole.
func HitsResponse(hits []twophase.Hit, last bool) []byte {
	type hit struct {
		Segment twophase.Shard `json:"segment"`
		ID      string         `json:"id"`
		Score   float64        `json:"score"`
	}
	out := struct {
		AllIn bool  `json:"all_in"`
		Hits  []hit `json:"hits"`
	}{true, make([]hit, 0, len(hits))}
	for _, h := range hits {
		out.Hits = append(out.Hits, hit{h.Shard, h.ID, h.Score + 0}) // negative zero is zero
	}
	body, _ := json.Marshal(out)
	return Respond(fulfilled, "application/json", append(body, '\n'), 0, last)
}
