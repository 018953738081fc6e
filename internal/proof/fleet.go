// Package proof holds what the proofs share: a program among fake replicas and discovery, jobs side by side, and the
// word with which each proof closes.
package proof

import (
	"fmt"
	"os"

	"terntray/internal/fake"
)

// FleetOptions say what a fleet consists of.
type FleetOptions struct {
	Program  string // path of the built program
	Settings string // the deployment's, as JSON
	Replicas int    // one a cell
	Behavior func(*fake.Replica, fake.Call)

	// Model names a replica's model by its index; nil: all have that of fake.NewReplica.
	Model func(index int) string

	// WriteConfig writes the program's own configuration into a folder and returns its path; nil: it has none.
	WriteConfig func(folder string) (path string, err error)

	Args []string // further ones of serve
}

// Fleet is a program among fake replicas and discovery.
type Fleet struct {
	*fake.Program
	Replicas  []*fake.Replica
	Discovery *fake.Discovery

	folder string // of the program's own configuration
}

// StartFleet starts a fleet and waits until its program serves. The caller closes it; after an error nothing is left.
func StartFleet(options FleetOptions) (*Fleet, error) {
	fleet := &Fleet{}
	if err := fleet.start(options); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) start(options FleetOptions) error {
	args := options.Args
	if options.WriteConfig != nil {
		path, err := f.writeConfig(options)
		if err != nil {
			return err
		}
		args = append(args, "-installation", path)
	}
	if err := f.startReplicas(options); err != nil {
		return err
	}
	discovery, err := fake.NewDiscovery("127.0.0.1:0", f.Replicas...)
	if err != nil {
		return err
	}
	f.Discovery = discovery
	f.Program, err = fake.StartProgram(options.Program, options.Settings, discovery, args...)
	return err
}

func (f *Fleet) writeConfig(options FleetOptions) (path string, err error) {
	f.folder, err = os.MkdirTemp("", "terntray")
	if err != nil {
		return "", err
	}
	return options.WriteConfig(f.folder)
}

// startReplicas starts the replicas; none keeps what it received.
func (f *Fleet) startReplicas(options FleetOptions) error {
	for index := range options.Replicas {
		replica, err := fake.NewReplica(fmt.Sprintf("s-%d", index), index, options.Behavior)
		if err != nil {
			return err
		}
		replica.NoLedger = true
		if options.Model != nil {
			replica.Model = options.Model(index)
		}
		f.Replicas = append(f.Replicas, replica)
	}
	return nil
}

// SetBehavior changes what all replicas do.
func (f *Fleet) SetBehavior(behavior func(*fake.Replica, fake.Call)) {
	for _, replica := range f.Replicas {
		replica.SetBehavior(behavior)
	}
}

// Close ends the program, if it still runs, then discovery and the replicas.
func (f *Fleet) Close() {
	if f.Program != nil {
		f.Stop()
	}
	if f.Discovery != nil {
		f.Discovery.Server.Close()
	}
	for _, replica := range f.Replicas {
		replica.Close()
	}
	if f.folder != "" {
		os.RemoveAll(f.folder)
	}
}
