#include "dragonflyglade/decision/request_class.h"

#include <array>

namespace dragonflyglade {
namespace {

constexpr std::array<std::string_view, kRequestClasses> kNames = {
    "urgent", "chat", "batch"};

}  // namespace

std::string_view NameOf(RequestClass request_class) {
  return kNames.at(static_cast<std::size_t>(request_class));
}

std::optional<RequestClass> RequestClassOf(std::string_view name) {
  for (int i = 0; i < kRequestClasses; ++i) {
    const auto request_class = static_cast<RequestClass>(i);
    if (NameOf(request_class) == name) return request_class;
  }
  return std::nullopt;
}

}  // namespace dragonflyglade
