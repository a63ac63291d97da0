// The network path from one VM to one target: a relay on loopback that can be
// cut without affecting the paths of other VMs.

#ifndef TESTING_TARGET_PATH_H_
#define TESTING_TARGET_PATH_H_

#include <boost/asio.hpp>
#include <memory>
#include <vector>

#include "waxwing/types.h"

namespace testing_support {

enum class path_cut {
  kNone,
  kHanging,      // no data on open connections, new ones get no answer
  kResetting,    // open connections are reset, new ones refused
  kRefusingNew,  // open connections go on, new ones are refused
};

struct target_path {
  boost::asio::io_context* context = nullptr;
  waxwing::endpoint target;
  std::uint16_t port = 0;
  path_cut cut = path_cut::kNone;
  // Bound to `port` all the time, so that nothing else listens there.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  // Fills the accept queue while the path is hanging.
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> fillers;
  std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> sockets;

  waxwing::endpoint Address() const { return {"127.0.0.1", port}; }
};

std::shared_ptr<target_path> OpenPath(boost::asio::io_context& context,
                                      const waxwing::endpoint& target);

void SetCut(const std::shared_ptr<target_path>& path, path_cut cut);

}  // namespace testing_support

#endif  // TESTING_TARGET_PATH_H_
