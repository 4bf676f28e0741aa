#ifndef DRAGONFLYGLADE_GATEWAY_THRIFT_CODEC_H_
#define DRAGONFLYGLADE_GATEWAY_THRIFT_CODEC_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// A structure of the peer protocol as bytes.
template <typename Message>
std::string EncodeThrift(const Message& message) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

/// @return nothing for bytes that cannot be read: anybody can send to a port
template <typename Message>
std::optional<Message> DecodeThrift(std::string_view bytes) {
  try {
    const auto buffer =
        std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
            static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    Message message;
    message.read(&protocol);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_THRIFT_CODEC_H_
