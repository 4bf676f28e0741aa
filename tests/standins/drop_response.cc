#include "tests/standins/drop_response.h"

#include <httplib.h>

namespace dragonflyglade {
namespace {

constexpr std::size_t kAnnouncedBytes = 1000;

}  // namespace

void DropResponse(httplib::Response& response) {
  response.set_content_provider(
      kAnnouncedBytes, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

}  // namespace dragonflyglade
