// Package kcwtool implements the commands of kcwctl, the operator's tool.
package kcwtool

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwsettings"
	"kingcupwick.example/kcwctl/kcwprinter"
)

// Config configures a Tool.
type Config struct {
	In       io.Reader
	Out, Err io.Writer
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Settings holds the contents of the tool's INI file.
type Settings struct {
	Operator struct {
		// Addresses are the addresses of the ledger's replicas.
		Addresses []netip.AddrPort `setting:"required"`
		// KeyFile holds the operator's key.
		KeyFile string `setting:"required"`
		// Timeout bounds a command, including its resends.
		Timeout time.Duration `default:"10s" setting:"min=10ms,max=1h"`
		// CallTimeout bounds one call to one replica.
		CallTimeout time.Duration `default:"2s" setting:"min=10ms,max=1m"`
	}
}

// Tool executes command lines.
type Tool struct {
	cfg     Config
	options options
}

// options holds the values of the flags that all commands have.
type options struct {
	settings  string
	addresses string
	keyFile   string
	timeout   time.Duration
	output    string
}

// New returns a Tool.
func New(cfg Config) *Tool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Tool{cfg: cfg}
}

// Run executes the command line in args, without the program's name, and returns
// the exit code.
func (t *Tool) Run(ctx context.Context, args []string) Kind {
	root := t.root()
	if err := root.Parse(args); err != nil {
		if kind := kindOf(err); kind == OK {
			return OK
		}
		fmt.Fprintln(t.cfg.Err, "kcwctl:", err)
		return Usage
	}
	err := root.Run(ctx)
	kind := kindOf(err)
	if kind != OK {
		fmt.Fprintln(t.cfg.Err, "kcwctl:", err)
	}
	return kind
}

func (t *Tool) root() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "kcwctl",
		ShortUsage: "kcwctl [flags] <command> [flags] <arguments>",
		FlagSet:    t.flags("kcwctl"),
		Options:    []ff.Option{ff.WithEnvVarPrefix("KCWCTL")},
		Subcommands: []*ffcli.Command{
			t.applyCommand(), t.getCommand(), t.listCommand(), t.topUpCommand(), t.historyCommand(),
			t.dumpCommand(), t.membersCommand(), t.replaceCommand(), t.waitCommand(), t.resolveCommand(),
			t.retireCommand(), t.releaseCommand(), t.hashKeyCommand(), t.checkCommand(),
		},
	}
	root.Exec = func(context.Context, []string) error { return flag.ErrHelp }
	return root
}

// flags returns a flag set with the flags that all commands have.
func (t *Tool) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(t.cfg.Err)
	set.StringVar(&t.options.settings, "settings", "", "settings `file` of the tool")
	set.StringVar(&t.options.addresses, "addresses", "", "addresses of the ledger's replicas, by commas, in place of the settings'")
	set.StringVar(&t.options.keyFile, "key-file", "", "`file` with the operator's key, in place of the settings'")
	set.DurationVar(&t.options.timeout, "timeout", 0, "bound of the command, in place of the settings'")
	set.StringVar(&t.options.output, "output", kcwprinter.Table, "table or json")
	return set
}

// command returns a command that takes one argument for each word of params.
func (t *Tool) command(name, params, help string, set *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	want := len(strings.Fields(params))
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace("kcwctl " + name + " [flags] " + params),
		ShortHelp:  help,
		FlagSet:    set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != want {
				return usage(name, "wants %d arguments (%s) after the flags, got %d", want, params, len(args))
			}
			return exec(ctx, args)
		},
	}
}

// load returns the settings, overridden by the flags.
func (t *Tool) load() (*Settings, error) {
	s := &Settings{}
	if t.options.settings != "" {
		if err := kcwsettings.Load(t.options.settings, s); err != nil {
			return nil, &Error{Op: "settings", Kind: Usage, Err: err}
		}
	} else {
		s.Operator.Timeout, s.Operator.CallTimeout = 10*time.Second, 2*time.Second
	}
	if t.options.addresses != "" {
		s.Operator.Addresses = nil
		for _, text := range strings.Split(t.options.addresses, ",") {
			address, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return nil, &Error{Op: "settings", Kind: Usage, Err: err}
			}
			s.Operator.Addresses = append(s.Operator.Addresses, address)
		}
	}
	if t.options.keyFile != "" {
		s.Operator.KeyFile = t.options.keyFile
	}
	if t.options.timeout > 0 {
		s.Operator.Timeout = t.options.timeout
	}
	return s, nil
}

// readKey returns the key in the file at path, without surrounding white space. The
// error is an *Error of kind Usage.
func readKey(path string) (string, error) {
	if path == "" {
		return "", usage("key", "no key file is given by the settings or by -key-file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Op: "key", Kind: Usage, Err: err}
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return "", usage("key", "%s is empty", path)
	}
	return key, nil
}

// call calls run with a client of the ledger and a context that ends after the
// timeout of the command.
func (t *Tool) call(ctx context.Context, run func(context.Context, *kcwledger.Client) error) error {
	s, err := t.load()
	if err != nil {
		return err
	}
	key, err := readKey(s.Operator.KeyFile)
	if err != nil {
		return err
	}
	client, err := kcwledger.New(kcwledger.Config{Addresses: s.Operator.Addresses, Key: key, CallTimeout: s.Operator.CallTimeout})
	if err != nil {
		return ledgerError("connect", err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, s.Operator.Timeout)
	defer cancel()
	return run(ctx, client)
}

func (t *Tool) print(rows any) error {
	printer, err := kcwprinter.New(kcwprinter.Config{Out: t.cfg.Out, Format: t.options.output})
	if err != nil {
		return &Error{Op: "print", Kind: Usage, Err: err}
	}
	if err := printer.Print(rows); err != nil {
		return &Error{Op: "print", Kind: Failed, Err: err}
	}
	return nil
}

// changeFlag adds the flag of the change identity, which is generated by default.
func changeFlag(set *flag.FlagSet) *string {
	return set.String("change", "", "identity of the change, to send it again after a lost answer (default a new one)")
}

func changeIdentity(given string) string {
	if given != "" {
		return given
	}
	return rand.Text()
}

// submit executes a change and returns its result if the ledger accepted it.
func (t *Tool) submit(ctx context.Context, client *kcwledger.Client, op, change string, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	result, err := client.Change(ctx, cmd)
	if err != nil {
		err = ledgerError(op, err)
		if kindOf(err) == Unknown {
			fmt.Fprintf(t.cfg.Err, "the answer was lost; send the same command again with -change %s\n", change)
		}
		return nil, err
	}
	switch result.Code {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		return result, nil
	case kcwpb.Code_CODE_STALE_REVISION:
		return nil, &Error{Op: op, Kind: Stale, Err: staleError(result.Revision, result.GetContract())}
	}
	name := strings.ToLower(strings.TrimPrefix(result.Code.String(), "CODE_"))
	return nil, &Error{Op: op, Kind: Refused, Err: fmt.Errorf("%s: %s", name, result.Detail)}
}

// staleError returns an error with the current revision of the contract. The
// contract may be nil.
func staleError(revision uint64, contract *kcwpb.Contract) error {
	return fmt.Errorf("the contract stands at revision %d, by change %s", revision, contract.GetChange())
}

// refusalKind returns the kind of a call that the ledger refused: Forbidden if it
// did not accept the key, otherwise Refused.
func refusalKind(err error) Kind {
	switch connect.CodeOf(connectError(err)) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return Forbidden
	}
	return Refused
}

// bearerGet sends a GET request with key to the operator address of a process.
func bearerGet(ctx context.Context, address, path, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(request)
}
