package main

import (
	"context"
	"errors"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-router/kcwpresence"
	"kingcupwick.example/kcw-router/kcwsetup"
	"kingcupwick.example/kcw/kcwadmin"
	"kingcupwick.example/kcw/kcwanswer"
	"kingcupwick.example/kcw/kcwcatalog"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwgateway"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwjournal"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwlimit"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwupstream"
	"kingcupwick.example/kcw/kcwwallet"
)

const (
	// incarnationFile stores the incarnation of the last start.
	incarnationFile = "incarnation.json"
	// journalFolder stores the claims that were opened from grants, without the
	// ledger.
	journalFolder = "journal"
	// limitBurst is the fraction of a limit per minute that may be used in one
	// burst.
	limitBurst = 0.5
	// headerTimeout bounds reading the header of a request. idleTimeout is how
	// long an idle connection of a caller is kept open.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// returnTimeout bounds the return of the grants during a shutdown.
	returnTimeout = 10 * time.Second
)

// process holds the components of a running router.
type process struct {
	settings *kcwsetup.Settings
	folder   *kcwfolder.Folder
	journal  *kcwjournal.Journal
	wallet   *kcwwallet.Wallet
	client   *kcwledger.Client
	catalog  *kcwcatalog.Catalog
	gateway  *kcwgateway.Gateway
	presence *kcwpresence.Presence
	meter    *kcwmeter.Meter
	admin    *kcwadmin.Server
	public   *kcwserve.Server
	internal *kcwserve.Server
	bounds   kcwserve.Bounds
	// ctx ends during close, after the gateway and the wallet have stopped.
	ctx    context.Context
	cancel context.CancelFunc
}

// newProcess creates the components of the router and listens at the admin
// address. Method run listens at the others, once the router is registered.
func newProcess(s *kcwsetup.Settings, k kcwsetup.Keys) (*process, error) {
	s.Process().LimitMemory()
	p := &process{settings: s}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	incarnation, err := p.openFolder()
	if err != nil {
		return nil, err
	}
	p.client, err = kcwledger.New(kcwledger.Config{Addresses: s.Ledger.Addresses, Key: k.Router})
	if err != nil {
		return nil, err
	}
	p.catalog = kcwcatalog.New(kcwcatalog.Config{
		Ledger: p.client, Router: s.Host.Name, Incarnation: incarnation, MaxContracts: s.Ledger.MaxContracts,
	})
	p.meter, err = kcwmeter.New(kcwmeter.Config{Program: "kcw-router", Host: s.Host.Name, Zone: s.Host.Zone})
	if err != nil {
		return nil, err
	}
	if err := p.newBounds(); err != nil {
		return nil, err
	}
	if err := p.newWallet(incarnation); err != nil {
		return nil, err
	}
	if err := p.newGateway(k, incarnation); err != nil {
		return nil, err
	}
	p.presence = kcwpresence.New(kcwpresence.Config{
		Ledger: p.client, Router: s.Host.Name, Zone: s.Host.Zone, Incarnation: incarnation,
		Address: s.Host.InternalAddress, Revision: p.catalog.Revision, Fenced: p.gateway.Fence,
		OnHeartbeat: p.handleHeartbeat,
	})
	p.admin, err = kcwadmin.New(kcwadmin.Config{
		Address: s.Host.AdminAddress, OperatorKey: k.Operator, Ready: p.gateway.Ready,
		Metrics: p.meter.Handler(), Dump: func(context.Context) any { return p.dump(incarnation) },
		Bound: p.bounds[adminServer], HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	return p, err
}

// openFolder opens the folder and its journal, if the settings name a folder, and
// returns the incarnation of this start. The incarnation is larger than the one
// stored in the folder.
func (p *process) openFolder() (uint64, error) {
	if p.settings.Host.Folder == "" {
		return kcwpresence.Incarnation(time.Now(), 0), nil
	}
	folder, err := kcwfolder.Open(kcwfolder.Config{Path: p.settings.Host.Folder})
	if err != nil {
		return 0, err
	}
	p.folder = folder
	path, err := folder.Sub(journalFolder)
	if err != nil {
		return 0, err
	}
	if p.journal, err = kcwjournal.Open(kcwjournal.Config{Folder: path}); err != nil {
		return 0, err
	}
	var last uint64
	var failure *kcwfolder.Error
	if err := folder.ReadJSON(incarnationFile, &last); err != nil && (!errors.As(err, &failure) || failure.Kind != kcwfolder.Missing) {
		return 0, err
	}
	incarnation := kcwpresence.Incarnation(time.Now(), last)
	return incarnation, folder.WriteJSON(incarnationFile, incarnation)
}

// newWallet creates the wallet, which takes over the claims that earlier starts
// left in the journal.
func (p *process) newWallet(incarnation uint64) error {
	s := p.settings.Grants
	wallet, err := kcwwallet.New(kcwwallet.Config{
		Ledger: p.client, Journal: p.journal, Router: p.settings.Host.Name, Incarnation: incarnation,
		Policy:         kcwgrant.New(kcwgrant.Config{Endurance: s.Endurance, Divisor: s.Divisor, IdleAfter: s.IdleAfter}),
		LedgerDeadline: s.LedgerDeadline, LedgerPatience: s.LedgerPatience,
	})
	p.wallet = wallet
	return err
}

func (p *process) newGateway(k kcwsetup.Keys, incarnation uint64) error {
	s := p.settings
	peers, err := kcwkeyring.New(kcwkeyring.Config{Keys: map[string]string{"router": k.Router}})
	if err != nil {
		return err
	}
	memory := kcwmemory.New(s.RequestBytes())
	p.registerBounds(memory)
	limits, err := kcwlimit.New(kcwlimit.Config{Routers: s.Grants.Routers, Rank: s.Grants.Rank, Burst: limitBurst})
	if err != nil {
		return err
	}
	var upstreams []*kcwupstream.Upstream
	for name, u := range s.Upstream {
		upstreams = append(upstreams, kcwupstream.New(kcwupstream.Config{
			Name: name, Service: u.Service, Zone: u.Zone, Address: u.Address, Key: k.Upstreams[name],
			ProgressTimeout: s.Deadlines.Progress,
		}))
	}
	p.gateway, err = kcwgateway.New(kcwgateway.Config{
		Router: s.Host.Name, Incarnation: incarnation, Zone: s.Host.Zone,
		Contracts: p.catalog, Accounts: p.wallet, Limits: limits, Upstreams: upstreams, Routers: s.Grants.Routers,
		Answers: kcwanswer.New(kcwanswer.Config{
			MaxBytes: s.Answers.MaxBytes, MaxAnswers: s.Answers.MaxAnswers, Retention: s.Answers.Retention,
		}),
		Peers: peers, PeerKey: k.Router, Memory: memory,
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxAnswerBytes: s.Limits.MaxAnswerBytes, MaxEventBytes: s.Limits.MaxEventBytes,
		QueueCapacity: s.Limits.QueueCapacity, UpstreamCapacity: s.Limits.UpstreamCapacity, MaxAttempts: s.Limits.MaxAttempts, FirstRetries: s.Limits.FirstRetries,
		OpenTimeout: s.Deadlines.Open, SettleTimeout: s.Deadlines.Settle, FirstByteTimeout: s.Deadlines.FirstByte,
		AnswerTimeout: s.Deadlines.Answer, WriteTimeout: s.Deadlines.Write, ReadTimeout: s.Deadlines.Read,
		PollInterval: s.Deadlines.Poll, SilenceTimeout: s.Deadlines.Silence,
		ContinuousUsage: s.Engine.ContinuousUsage, EnginePriority: s.Engine.Priority, PrefixYield: s.Engine.PrefixYield,
		Observe: newObserver(p.meter),
	})
	return err
}

// handleHeartbeat applies the ledger's answer to a heartbeat: the grants that it
// recalls and the number of routers.
func (p *process) handleHeartbeat(answer *kcwpb.HeartbeatResponse) {
	p.wallet.Recall(answer.GetRecalls())
	p.gateway.SetRouters(int(answer.GetRouters()))
}

// run serves until a signal. The router then reports for DrainTime that it isn't
// ready, while it still accepts requests, and finally completes the requests in
// flight.
func (p *process) run(logger log.Logger) error {
	s := p.settings
	if err := p.presence.Register(p.ctx); err != nil {
		return err
	}
	if err := p.listen(); err != nil {
		return err
	}
	go p.presence.Run(p.ctx)
	go p.gateway.Run(p.ctx)
	go p.wallet.Run(p.ctx)
	go func() {
		if err := p.catalog.Run(p.ctx); err != nil && p.ctx.Err() == nil {
			klog.ErrorS(err, "Watch of the contracts ended")
		}
	}()
	app := kratos.New(
		kratos.Name("kcw-router"),
		kratos.Logger(logger),
		kratos.Server(p.servers()...),
		kratos.StopTimeout(s.Host.StopTimeout),
		kratos.BeforeStop(func(context.Context) error {
			klog.InfoS("Router drains", "DrainTime", s.Host.DrainTime.String())
			p.gateway.Drain()
			time.Sleep(s.Host.DrainTime)
			return nil
		}),
	)
	klog.InfoS("Router starts", "Address", s.Host.Address.String(), "Zone", s.Host.Zone)
	err := app.Run()
	return errors.Join(err, p.close())
}

// servers returns the servers of the router. The internal and the admin server
// stop only after the public one, so that they answer other routers and operators
// until the last caller has its answer.
func (p *process) servers() []transport.Server {
	stopped := make(chan struct{})
	return []transport.Server{
		&signalingServer{p.public, stopped},
		&waitingServer{p.internal, stopped},
		&waitingServer{p.admin, stopped},
	}
}

// signalingServer closes stopped once the server has stopped.
type signalingServer struct {
	transport.Server
	stopped chan struct{}
}

// Stop stops the server and then allows the waiting servers to stop.
func (s *signalingServer) Stop(ctx context.Context) error {
	defer close(s.stopped)
	return s.Server.Stop(ctx)
}

// waitingServer stops after stopped is closed.
type waitingServer struct {
	transport.Server
	stopped <-chan struct{}
}

// Stop waits until the signaling server has stopped and stops this one.
func (s *waitingServer) Stop(ctx context.Context) error {
	<-s.stopped
	return s.Server.Stop(ctx)
}

// close stops the remaining components. The gateway closes the claims of its
// requests first; then the wallet returns the grants.
func (p *process) close() error {
	stopCtx, cancelStop := context.WithTimeout(context.Background(), p.settings.Host.StopTimeout)
	defer cancelStop()
	err := p.gateway.Stop(stopCtx)
	// The next start takes over what the wallet can't return.
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), returnTimeout)
	defer cancelReturn()
	if returnErr := p.wallet.Close(returnCtx); returnErr != nil {
		klog.ErrorS(returnErr, "Grants not returned")
	}
	p.cancel()
	p.client.Close()
	if p.folder != nil {
		err = errors.Join(err, p.journal.Close(), p.folder.Close())
	}
	if err != nil {
		return eris.Wrap(err, "stop")
	}
	klog.InfoS("Router stopped")
	return nil
}
