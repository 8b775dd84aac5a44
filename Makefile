.PHONY: build demo demo-dakar test generate

build:
	mkdir -p bin
	go build -o bin/ . ./standin

demo: build
	bin/standin demo lorient

demo-dakar: build
	bin/standin demo dakar

generate:
	go generate ./...

test: build
	./scripts/test.sh
