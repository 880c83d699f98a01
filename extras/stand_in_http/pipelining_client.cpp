#include "stand_in_http/pipelining_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace clementine::stand_in {

namespace asio = boost::asio;

std::string pipelining_client::answer::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? "" : Found->second;
}

pipelining_client::pipelining_client(const endpoint &Server) {
  Socket.connect({asio::ip::make_address(Server.Host), Server.Port});
  Socket.non_blocking(true);
}

void pipelining_client::send(const std::string &Bytes) {
  boost::system::error_code Ignored; // A read reports the end.
  if (!HasEnded)
    asio::write(Socket, asio::buffer(Bytes), Ignored);
}

std::vector<pipelining_client::answer>
pipelining_client::receive(std::size_t MaxBytes) {
  std::string Bytes(MaxBytes, '\0');
  boost::system::error_code Error;
  Input.append(Bytes, 0, Socket.read_some(asio::buffer(Bytes), Error));
  HasEnded = Error && Error != asio::error::would_block;
  std::vector<answer> Answers;
  for (answer Next; takeAnswer(Next); Next = {})
    Answers.push_back(Next);
  return Answers;
}

/// Takes the first answer of Input if it is complete.
bool pipelining_client::takeAnswer(answer &Answer) {
  const std::size_t End = Input.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  std::istringstream Head(Input.substr(0, End + 2));
  std::string Line;
  std::getline(Head, Line);
  Answer.Status = std::strtol(Line.c_str() + Line.find(' '), nullptr, 10);
  while (std::getline(Head, Line)) {
    const std::size_t Colon = Line.find(": ");
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::ranges::transform(Name, Name.begin(), [](unsigned char Each) {
      return static_cast<char>(std::tolower(Each));
    });
    Answer.Headers[Name] = Line.substr(Colon + 2, Line.find('\r') - Colon - 2);
  }
  const std::size_t Length =
      std::strtoul(Answer.header("content-length").c_str(), nullptr, 10);
  const std::size_t Begin = End + 4;
  if (Input.size() - Begin < Length)
    return false;
  Answer.Body = Input.substr(Begin, Length);
  Input.erase(0, Begin + Length);
  return true;
}

} // namespace clementine::stand_in
