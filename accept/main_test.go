package accept_test

import (
	"os"
	"testing"

	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }
