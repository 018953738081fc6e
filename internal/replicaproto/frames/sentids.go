package frames

import "strings"

// maxSentIDs is the number of subqueries whose IDs are kept: more than are usually open on one connection.
const maxSentIDs = 64

// sentIDs holds the IDs of the subqueries that were sent last on a connection.
type sentIDs struct {
	ids  []string // up to maxSentIDs
	next int      // index that is written next once there are so many
}

func (sent *sentIDs) add(id string) {
	if len(sent.ids) < maxSentIDs {
		sent.ids = append(sent.ids, id)
		return
	}
	sent.ids[sent.next] = id
	sent.next = (sent.next + 1) % maxSentIDs
}

// HasPrefix reports whether one of the IDs begins with the given bytes.
func (sent *sentIDs) HasPrefix(prefix []byte) bool {
	for _, id := range sent.ids {
		if strings.HasPrefix(id, string(prefix)) {
			return true
		}
	}
	return false
}
