# Commands of the project: `make demo` and `make test` set up all they need.

MODULES  := kcw kcw-demo kcw-fleet kcw-ledger kcw-proof kcw-router kcw-standin kcwctl platform
PROGRAMS := kcw-demo kcw-ledger kcw-router kcw-standin kcwctl
TOOLS    := $(CURDIR)/bin/tools
GOFUMPT  := $(TOOLS)/gofumpt
REVIVE   := $(TOOLS)/revive
STATIC   := $(TOOLS)/staticcheck
GOPLS    := $(TOOLS)/gopls

export CGO_ENABLED := 1

.PHONY: build demo test format-check lint unit bench generate format rename-tool clean

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	@bash scripts/demo.sh

test: format-check lint build unit

$(GOFUMPT):
	GOBIN=$(TOOLS) go install mvdan.cc/gofumpt@v0.12.0

$(REVIVE):
	GOBIN=$(TOOLS) go install github.com/mgechev/revive@v1.16.0

$(STATIC):
	GOBIN=$(TOOLS) go install honnef.co/go/tools/cmd/staticcheck@v0.8.2

$(GOPLS):
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@v0.23.0

# rename-tool installs gopls, for `gopls rename -w FILE:LINE:COLUMN NAME`.
rename-tool: $(GOPLS)

format: $(GOFUMPT)
	@$(GOFUMPT) -w $$(git ls-files '*.go' | grep -Ev '\.(pb|connect)\.go$$')

format-check: $(GOFUMPT)
	@out=$$($(GOFUMPT) -l $$(git ls-files '*.go' | grep -Ev '\.(pb|connect)\.go$$')); \
	if [ -n "$$out" ]; then echo "not formatted by gofumpt:"; echo "$$out"; exit 1; fi

lint: $(REVIVE) $(STATIC)
	@for m in $(MODULES); do (cd $$m && go vet ./... && $(REVIVE) -set_exit_status ./... && $(STATIC) ./...) || exit 1; done

unit:
	@bash scripts/unit.sh $(MODULES)

# bench prints the figures of docs/BENCHMARKS.md; it asserts nothing.
bench:
	@for m in $(MODULES); do (cd $$m && go test -run '^$$' -bench . -benchmem ./...) || exit 1; done

# generate needs protoc, protoc-gen-go and protoc-gen-connect-go on the path.
# The build does not: generated code is committed.
generate:
	protoc -I kcw/kcwpb --go_out=kcw --go_opt=module=kingcupwick.example/kcw \
		--connect-go_out=kcw --connect-go_opt=module=kingcupwick.example/kcw kcw/kcwpb/kcw.proto

clean:
	rm -rf bin run
