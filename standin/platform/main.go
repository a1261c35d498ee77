package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"comfreystream/standin/instancelist"
	"comfreystream/standin/store"
	"comfreystream/standin/worker"
	"comfreystream/state"
)

type arguments struct {
	Store            string   `help:"Loopback address of the store." default:"127.0.0.1:7300"`
	InstanceList     string   `help:"Loopback address of the instance list." default:"127.0.0.1:7400"`
	AvailabilityZone []string `help:"Availability zones in which to start workers." default:"zone-a,zone-b"`
	Workers          int      `help:"Number of workers in each zone." default:"4"`
	WorkersPerRack   int      `help:"Number of workers in each rack." default:"2"`
	Entry            []string `help:"Entries to add to the instance list, as zone=address." placeholder:"ZONE=ADDRESS"`
}

func main() {
	var a arguments
	parsed := kong.Parse(&a, kong.Name("platform"), kong.Description("Serves a simulated platform on loopback."))
	parsed.FatalIfErrorf(a.run())
}

// run serves until the process receives SIGTERM or an interrupt.
func (a *arguments) run() error {
	storeAddress, err := parseLoopback(a.Store)
	if err != nil {
		return err
	}
	listAddress, err := parseLoopback(a.InstanceList)
	if err != nil {
		return err
	}
	s, err := store.Serve(storeAddress)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	list, err := instancelist.Serve(listAddress, 0)
	if err != nil {
		return err
	}
	defer func() { _ = list.Close() }()
	if err := a.populate(list.List); err != nil {
		return err
	}
	fmt.Printf("store %s, instance list %s, %d workers in each of %v\n", s.Address(), list.Address(), a.Workers, a.AvailabilityZone)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

// populate starts the workers and adds them and the entries to the list.
func (a *arguments) populate(list *instancelist.List) error {
	for _, zone := range a.AvailabilityZone {
		for n := range a.Workers {
			if err := addWorker(list, zone, n/max(a.WorkersPerRack, 1)); err != nil {
				return err
			}
		}
	}
	for _, entry := range a.Entry {
		zone, text, _ := strings.Cut(entry, "=")
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Errorf("--entry: %q is not ZONE=ADDRESS", entry)
		}
		list.AddEntry(state.Instance{Address: address, AvailabilityZone: zone})
	}
	return nil
}

func addWorker(list *instancelist.List, zone string, position int) error {
	rack := state.Rack{Name: fmt.Sprintf("%s-r%d", zone, position+1), AvailabilityZone: zone, Position: position}
	capacity := state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 << 30}
	w, err := worker.Serve(state.Worker{Rack: rack, Capacity: capacity}, netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		return err
	}
	list.AddWorker(w.Describe())
	return nil
}

func parseLoopback(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		return netip.AddrPort{}, errors.Errorf("%q is not a loopback address with a port", text)
	}
	return address, nil
}
