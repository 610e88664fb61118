#include "coordination/cli_commands.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(server, "http://127.0.0.1:8001", "operator interface of a daemon");
DEFINE_string(token_file, "operator.token", "file with the operator token");
DEFINE_string(ca_file, "", "PEM file with the certificate authority for https");
DEFINE_string(f, "", "directory of declarations, or file with a patch");
DEFINE_string(base, "", "version that the patch starts from");
DEFINE_string(organisation, "", "organisation of the new key");
DEFINE_string(id, "", "identifier of the new key");
DEFINE_string(window, "", "number of the usage window");
DECLARE_bool(help);

int main(int argc, char **argv)
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    lacewinglock::cli_call call{
        .target = {.server = FLAGS_server, .tokenFile = FLAGS_token_file, .caFile = FLAGS_ca_file},
        .file = FLAGS_f,
        .base = FLAGS_base,
        .organisation = FLAGS_organisation,
        .id = FLAGS_id,
        .window = FLAGS_window,
        .words = {argv + 1, argv + argc},
    };
    return lacewinglock::runCommand(lacewinglock::operatorCommands(), std::move(call), FLAGS_help, std::cout, std::cerr);
}
