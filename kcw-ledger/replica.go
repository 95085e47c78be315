package main

import (
	"context"
	"net"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-ledger/kcwsetup"
	"kingcupwick.example/kcw/kcwadmin"
	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwnotifier"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpeer"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwservice"
)

// replica holds the components of a running ledger replica.
type replica struct {
	settings *kcwsetup.Settings
	folder   *kcwfolder.Folder
	book     *kcwbook.Book
	sender   *kcwpeer.Sender
	group    *kcwgroup.Group
	service  *kcwservice.Service
	meter    *kcwmeter.Meter
	bounds   kcwserve.Bounds
	// messages is the memory that messages of processes hold.
	messages *kcwmemory.Account
}

// serve runs a replica until a signal stops it.
func serve(s *kcwsetup.Settings, k kcwsetup.Keys, logger *kcwlog.Logger) error {
	s.Process().LimitMemory()
	folder, err := kcwfolder.Open(kcwfolder.Config{Path: s.Host.Folder})
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	r, err := newReplica(s, k, folder, direct)
	if err != nil {
		return err
	}
	defer r.close()
	public, err := r.publicServer()
	if err != nil {
		return err
	}
	admin, err := r.adminServer(k.Operator)
	if err != nil {
		return err
	}
	app := kratos.New(
		kratos.Name("kcw-ledger"),
		kratos.Logger(logger),
		kratos.Server(public, admin),
		kratos.StopTimeout(s.Service.StopTimeout),
		kratos.BeforeStop(func(context.Context) error { return r.leave() }),
	)
	klog.InfoS("Ledger replica starts", "Address", s.Host.Address, "Zone", s.Host.Zone)
	go func() {
		// The group stops by itself only after a disk fault.
		<-r.group.Done()
		_ = app.Stop()
	}()
	if err := app.Run(); err != nil {
		return err
	}
	return r.group.Close()
}

// route returns the member to whose address messages for another replica are
// sent. Tests use it to redirect messages through forwarders.
type route func(to *kcwpb.Member) *kcwpb.Member

// direct sends to the address that the other replica announces.
func direct(to *kcwpb.Member) *kcwpb.Member {
	return to
}

// newReplica starts the replica whose state is in folder. The caller closes it.
func newReplica(s *kcwsetup.Settings, k kcwsetup.Keys, folder *kcwfolder.Folder, via route) (*replica, error) {
	r := &replica{settings: s, folder: folder, book: kcwbook.New()}
	sender, err := kcwpeer.New(kcwpeer.Config{Group: s.Group.Name, Key: k.Peer, Timeout: s.Group.Election / 2})
	if err != nil {
		return nil, err
	}
	r.sender = sender
	send := func(to *kcwpb.Member, msgs []*kcwpb.Message) { sender.Send(via(to), msgs) }
	notifier := kcwnotifier.New(kcwnotifier.Config{Machine: r.book, Revision: r.book.Revision})
	group, err := kcwgroup.NewWhenRoom(context.Background(), kcwgroup.Config{
		Folder:          folder,
		Group:           s.Group.Name,
		Name:            s.Host.Name,
		Zone:            s.Host.Zone,
		Address:         s.Host.Address,
		Founders:        s.Founders(),
		Bootstrap:       s.Group.Bootstrap,
		Machine:         notifier,
		Send:            send,
		Heartbeat:       s.Group.Heartbeat,
		Election:        s.Group.Election,
		SnapshotEntries: s.Group.SnapshotEntries,
		KeepEntries:     s.Group.KeepEntries,
		Now:             time.Now,
	})
	if err != nil {
		_ = sender.Close()
		return nil, err
	}
	r.group = group
	if err := r.build(k, notifier); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// build creates the replica's service and its metrics.
func (r *replica) build(k kcwsetup.Keys, notifier *kcwnotifier.Notifier) error {
	service, err := kcwservice.New(kcwservice.Config{
		Group:         r.group,
		Book:          r.book,
		Changed:       notifier.Changed,
		PeerKey:       k.Peer,
		RouterKey:     k.Router,
		OperatorKey:   k.Operator,
		WatchInterval: r.settings.Service.Beat,
		SilentAfter:   r.settings.Service.SilentAfter,
		Now:           time.Now,
		Receive:       r.receive,
	})
	if err != nil {
		return err
	}
	r.service = service
	if err := r.newBounds(); err != nil {
		return err
	}
	r.meter, err = kcwmeter.New(kcwmeter.Config{
		Program: "kcw-ledger",
		Host:    r.settings.Host.Name,
		Zone:    r.settings.Host.Zone,
	})
	if err != nil {
		return err
	}
	r.registerMetrics()
	r.registerBounds()
	return nil
}

// registerMetrics declares the metrics of the replica.
func (r *replica) registerMetrics() {
	gauge := func(name, help string, read func() int64) {
		r.meter.Gauge(name, help, func(observe func(int64, ...attribute.KeyValue)) { observe(read()) })
	}
	gauge("kcw_ledger_term", "Term of the replicated log.", func() int64 { return int64(r.group.Status().Term) })
	gauge("kcw_ledger_commit", "Highest committed index.", func() int64 { return int64(r.group.Status().Commit) })
	gauge("kcw_ledger_applied", "Highest applied index.", func() int64 { return int64(r.group.Status().Applied) })
	gauge("kcw_ledger_revision", "Newest contract revision.", func() int64 { return int64(r.book.Revision()) })
	gauge("kcw_ledger_leads", "Whether this replica leads, 0 or 1.", func() int64 {
		status := r.group.Status()
		if status.Leader == status.Id {
			return 1
		}
		return 0
	})
}

// publicServer returns the server for replicas, routers and operators.
func (r *replica) publicServer() (*kcwserve.Server, error) { return r.serverOn(nil) }

// serverOn returns the public server on listener, or on one at the replica's address if that is nil.
func (r *replica) serverOn(listener net.Listener) (*kcwserve.Server, error) {
	return kcwserve.New(r.settings.Host.Address, r.service.Handler(), kcwserve.Config{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Bound: r.bounds[publicServer], HTTP2: true, Listener: listener,
	})
}

// adminServer returns the server of the operator address.
func (r *replica) adminServer(operatorKey string) (*kcwadmin.Server, error) {
	return kcwadmin.New(kcwadmin.Config{
		Address:     r.settings.Host.AdminAddress,
		OperatorKey: operatorKey,
		Health:      func() error { return nil },
		Ready:       r.ready,
		Metrics:     r.meter.Handler(),
		Dump:        func(context.Context) any { return r.dump() },
		Bound:       r.bounds[adminServer], HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
}

// ready returns nil if the replica has recent contact with a leader and has
// caught up with its log.
func (r *replica) ready() error {
	if !r.service.Fresh() {
		return eris.New("no leader heard lately, or not caught up")
	}
	return nil
}

// leave ends the watch streams and transfers leadership before the servers
// stop, so that calls in flight can finish.
func (r *replica) leave() error {
	r.service.Stop()
	return r.group.Close()
}

func (r *replica) close() {
	if err := r.group.Close(); err != nil {
		klog.ErrorS(err, "Replicated log not closed cleanly")
	}
	_ = r.sender.Close()
	if r.meter != nil {
		_ = r.meter.Close()
	}
}
