package replicaconn

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"terntray/connpool"
	"terntray/internal/netconn"
)

// A connect fails as this machine has no descriptor left. The pool has to see that, or the replica would be blamed for
// it; the log has to show the error as it came.
func TestShortageOfThisMachineIsRecognisedByThePool(t *testing.T) {
	cause := fmt.Errorf("%w: %w", netconn.ErrShortage, syscall.EMFILE)
	err := error(&shortageError{cause})
	if !errors.Is(err, connpool.ErrShortage) || !errors.Is(err, syscall.EMFILE) {
		t.Errorf("%v is not recognised as a shortage, or hides its cause", err)
	}
	if err.Error() != cause.Error() {
		t.Errorf("reads %q, want %q", err, cause)
	}
}
