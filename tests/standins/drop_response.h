#ifndef DRAGONFLYGLADE_TESTS_STANDINS_DROP_RESPONSE_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_DROP_RESPONSE_H_

namespace httplib {
struct Response;
}

namespace dragonflyglade {

/// Makes the server close the connection after the response's head, so that the
/// client never receives a complete response.
void DropResponse(httplib::Response& response);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_DROP_RESPONSE_H_
