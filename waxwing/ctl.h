// The commands of waxwingctl, the operators' command line. They are separate
// from its main() so that tests can record complete sessions and compare them.

#ifndef WAXWING_CTL_H_
#define WAXWING_CTL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <ostream>
#include <string>

#include "waxwing/types.h"

namespace waxwing {

struct ctl_command {
  endpoint agent;
  std::string key;
  std::string operator_name;
  bool as_json = false;
  // Time to wait until a generation is in force on all VMs.
  milliseconds wait{5'000};
  // status, intent, confirm, wait, audit or watch.
  std::string verb;
  std::string argument;
};

// Runs one command and writes its output to `out`. Returns the exit code:
// kExitBadSettings for an unknown verb or a missing argument, kExitFailure if
// the agent refused the command or did not respond, or if a generation is not
// in force on all VMs in time.
boost::asio::awaitable<int> RunCtl(boost::asio::any_io_executor executor,
                                   ctl_command command,
                                   std::ostream& out);

}  // namespace waxwing

#endif  // WAXWING_CTL_H_
