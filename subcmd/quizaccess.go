package subcmd

import (
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/setup"
)

// quizAccess holds the flags that give access to the administration API of one
// entry.
type quizAccess struct {
	url       string
	token     string
	tokenFile string
	authority string
}

func (access *quizAccess) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "operators' URL of an entry", Destination: &access.url},
		&cli.StringFlag{
			Name: "token-file", Usage: "file with the operator's token",
			Sources: cli.EnvVars(setup.Environment("token-file")), Destination: &access.tokenFile,
		},
		&cli.StringFlag{
			Name: "token", Usage: "the operator's token if no file is named; set it in the environment",
			Sources: cli.EnvVars(setup.Environment("token")), Destination: &access.token,
		},
		&cli.StringFlag{
			Name: "authority", Usage: "PEM file of the authority that signs the entries' certificates",
			Sources: cli.EnvVars(setup.Environment("operator-ca")), Destination: &access.authority,
		},
	}
}

func (access *quizAccess) client() (*admin.Client, error) {
	token := access.token
	if access.tokenFile != "" {
		content, err := os.ReadFile(access.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(content))
	}
	client, err := operatorClient(access.authority)
	if err != nil {
		return nil, err
	}
	return admin.NewClient(admin.ClientConfig{URL: strings.TrimSuffix(access.url, "/"), Token: token, HTTP: client}), nil
}
