package node

import (
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/spread"
)

func newAdmin(settings *setup.Entry, repository *config.Repository, service *spread.Service, crashes *poison.SharedTracker, hasher *ident.Hasher, clock *clock.Service, log logrus.FieldLogger) (*admin.Server, error) {
	operators := make([]admin.Operator, 0, len(settings.Operators))
	for _, text := range settings.Operators {
		operator, err := admin.ParseOperator(text)
		if err != nil {
			return nil, err
		}
		operators = append(operators, operator)
	}
	return admin.NewServer(admin.ServerConfig{
		Repository: repository, Publisher: service, Quarantines: crashes, Operators: operators,
		Hasher: hasher, Clock: clock, Logger: log,
	}), nil
}

// routeAdmin adds the administration API to the operators' routes.
func routeAdmin(router *mux.Router, server *admin.Server) {
	router.PathPrefix(admin.PathPrefix).Handler(server)
}
