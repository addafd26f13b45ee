# Sourced by other scripts; installs the tools at pinned versions through Go modules.
GOLANGCI_LINT_VERSION=v2.15.0
GOFUMPT_VERSION=v0.12.0
TOOLS_BIN="${BASILKEEL_TOOLS:-${HOME:-/tmp}/.cache/basilkeel-tools}/$GOLANGCI_LINT_VERSION-$GOFUMPT_VERSION"

# awake runs a command and prints a line every 20 seconds until it ends, as
# building the linter with a cold cache takes minutes.
awake() {
  local started=$SECONDS
  "$@" &
  local pid=$!
  while kill -0 "$pid" 2>/dev/null; do
    sleep 1
    if (((SECONDS - started) % 20 == 19)); then
      printf 'still building tools, %d s\n' "$((SECONDS - started))"
    fi
  done
  wait "$pid"
}

install_tools() {
  mkdir -p "$TOOLS_BIN"
  if [ ! -x "$TOOLS_BIN/gofumpt" ]; then
    awake env GOBIN="$TOOLS_BIN" GOFLAGS= go install "mvdan.cc/gofumpt@$GOFUMPT_VERSION"
  fi
  if [ ! -x "$TOOLS_BIN/golangci-lint" ]; then
    awake env GOBIN="$TOOLS_BIN" GOFLAGS= go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$GOLANGCI_LINT_VERSION"
  fi
}
