package subcmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/setup"
)

// hashCommand generates an operator's token and its hash.
type hashCommand struct {
	keySecretFile string
	tokenFile     string
}

func (*hashCommand) name() string { return "hash" }

func (*hashCommand) summary() string { return "generate an operator's token and its hash" }

func (*hashCommand) help() string {
	return `Hash prints a new random token, for the operator, and its hash, for the setting
--operator name:role:hash of entries. With --token-file it prints only the
hash of the token in the file.`
}

func (command *hashCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "key-secret-file", Usage: "file with the secret under which access keys are hashed",
			Sources: cli.EnvVars(setup.Environment("key-secret-file")), Destination: &command.keySecretFile, Required: true,
		},
		&cli.StringFlag{Name: "token-file", Usage: "file with a token to hash; - reads standard input", Destination: &command.tokenFile},
	}
}

func (command *hashCommand) run(context.Context, []string) error {
	hasher, err := node.ReadHasher(command.keySecretFile)
	if err != nil {
		return err
	}
	if command.tokenFile == "" {
		token := ident.NewSecret()
		fmt.Printf("token=%s\nhash=%s\n", token, hasher.Hash(token))
		return nil
	}
	content, err := readFile(command.tokenFile)
	if err != nil {
		return err
	}
	token := strings.TrimSpace(string(content))
	if token == "" {
		return flagError("token-file", "holds no token")
	}
	fmt.Printf("hash=%s\n", hasher.Hash(token))
	return nil
}
