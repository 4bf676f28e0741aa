#ifndef DRAGONFLYGLADE_TESTS_STANDINS_FAULTY_ANSWER_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_FAULTY_ANSWER_H_

namespace httplib {
struct Response;
}

namespace dragonflyglade {

/// Ends the connection after the head, so that the other end never gets a
/// whole answer.
void DropResponse(httplib::Response& response);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_FAULTY_ANSWER_H_
