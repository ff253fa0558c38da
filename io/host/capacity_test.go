package host

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

// meshSnapshot returns a snapshot of n nodes in 12 failure domains, each with one endpoint, and 220 services.
func meshSnapshot(n int) *config.Snapshot {
	var puts []config.Entry
	put := func(m proto.Message) {
		v, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		puts = append(puts, config.Entry{Key: config.KeyOf(m), Value: v})
	}
	for i := range 220 {
		put(&wire.Service{Name: fmt.Sprintf("service-%03d", i), Slots: 12, Connections: 130})
	}
	for i := range n {
		name := fmt.Sprintf("node-%04d", i)
		put(&wire.Node{Name: name, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Domain: fmt.Sprint("domain-", i%12), Region: fmt.Sprint("region-", i%4), Incarnation: uint64(i) << 40})
		put(&wire.Endpoint{Service: fmt.Sprintf("service-%03d", i%220), Name: name, Node: name, Slots: 12, Connections: 130, Incarnation: uint64(i) << 41})
	}
	return config.NewSnapshot().With(1, puts, nil)
}

// Measures the costs of one version at a node: the routing table, the choice of upstreams and the check of its announcement.
func BenchmarkCapacityVersion(b *testing.B) {
	for _, n := range []int{525, 2100} {
		s := meshSnapshot(n)
		t, err := config.NewTable(s)
		if err != nil {
			b.Fatal(err)
		}
		settings := &process.Settings{Name: "node-0100", Domain: "domain-4", Region: "region-0"}
		for i := range 7 {
			settings.Replicas = append(settings.Replicas, process.Replica{Name: fmt.Sprintf("node-%04d", i), Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i))})
		}
		u := newUpstream(settings, newDirectory(settings))
		announcement := &rpc.AnnounceRequest{Node: &wire.Node{Name: "node-0100", Address: "10.0.0.100:7000", Domain: "domain-4", Region: "region-0", Incarnation: 100 << 40}}
		for _, c := range []struct {
			name string
			run  func()
		}{
			{"table", func() { _, _ = config.NewTable(s) }},
			{"upstream", func() { u.update(peer.View{Snapshot: s, Table: t}) }},
			{"announced", func() { differs(s, announcement) }},
		} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.run()
				}
			})
		}
	}
}
