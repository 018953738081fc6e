// Package proof holds what the proofs share: a co-ordinator process with fake replicas and a fake discovery agent,
// parallel runs, and the closing line.
package proof

import (
	"fmt"
	"os"

	"terntray/internal/fake"
)

// FleetOptions configure a fleet.
type FleetOptions struct {
	Program  string // path of the executable
	Settings string // of the deployment, as JSON
	Replicas int    // one per cell
	Behavior func(*fake.Replica, fake.Call)

	// Model returns the model of the replica with this index. If nil, replicas keep the default of fake.NewReplica.
	Model func(index int) string

	// WriteConfig writes an installation file into a folder and returns its path. If nil, the program gets none.
	WriteConfig func(folder string) (path string, err error)

	Args []string // additional arguments of serve
}

// Fleet is a running program with its fake replicas and discovery agent.
type Fleet struct {
	*fake.Program
	Replicas  []*fake.Replica
	Discovery *fake.Discovery

	folder string // of the installation file; empty if there is none
}

// StartFleet starts a fleet and waits until its program serves. The caller must close the fleet. On error, everything
// already started is stopped.
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

// startReplicas starts the replicas. They do not record the calls that they receive.
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

// SetBehavior sets the behavior of all replicas.
func (f *Fleet) SetBehavior(behavior func(*fake.Replica, fake.Call)) {
	for _, replica := range f.Replicas {
		replica.SetBehavior(behavior)
	}
}

// Close stops the program if it still runs, then the discovery agent and the replicas.
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
