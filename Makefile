.PHONY: all build generate fmt lint test bench demo soak ci
all: build
build:
	go build -o bin/ ./cmd/...
generate:
	.ci/generate
fmt:
	"$$(.ci/tools)/gofumpt" -w $$(git ls-files '*.go' ':!gen/*')
lint:
	"$$(.ci/tools)/golangci-lint" run ./...
test:
	go test ./...
bench:
	go test -run '^$$' -bench . -benchmem ./...
demo:
	go run ./cmd/fireflygate demo
soak:
	go test ./integration -run TestSoak -count=1 -soak.seed=$(or $(SEED),1) -soak.count=$(or $(COUNT),20) -timeout 60m
ci:
	bash .ci/run
