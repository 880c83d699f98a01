/// Answers that arrive while the request is still being written.

#include "scripted_instance.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

using socket = scripted_instance::socket;

const std::string Start = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\n";
/// More than the socket buffers of both ends hold, so that the upload is still
/// being written while the instance does not read.
constexpr std::size_t UploadBytes = std::size_t{48} << 20U;

/// An instance that has accepted an upload and reads no more than its start.
struct upload_fixture {
  upload_fixture() {
    instance_call Call;
    Call.Attempt = {1, 1};
    Call.Instance = "i-1";
    Call.Deadline = boot_clock().now() + 20s;
    Call.Request = {"POST",
                    "/",
                    {{"Host", "h"}, {"X-Id", "a"}},
                    std::string(UploadBytes, 'u'),
                    true};
    Test.Client.call(std::move(Call));
    boost::system::error_code Error;
    Test.runUntil([&] {
      if (!Instance.is_open())
        Test.Acceptor.accept(Instance, Error);
      return Instance.is_open() && Instance.available(Error) > 0;
    });
    REQUIRE(Instance.is_open());
  }

  /// Sends an answer and waits until the client has read what there is of it.
  void answerAndAwaitRead(const std::string &Bytes) {
    scripted_instance::send(Instance, Bytes);
    REQUIRE(Test.runUntil([&] { return Test.Client.bufferedBytes() > 0; }));
  }

  const instance_result &awaitResult() {
    REQUIRE(Test.awaitResults(1));
    return Test.Results[0];
  }

  scripted_instance Test;
  socket Instance{Test.InstanceLoop};
};

} // namespace

TEST_CASE("an answer without length that is reset while the upload is being "
          "written does not read as whole") {
  upload_fixture Upload;
  SUBCASE("the client has read a part of it") {
    Upload.answerAndAwaitRead(Start + "\r\npart");
  }
  SUBCASE("the client has read its head") {
    scripted_instance::send(Upload.Instance, Start + "\r\n");
    Upload.Test.runFor(50ms);
  }
  SUBCASE("the client has read none of it") {
    scripted_instance::send(Upload.Instance, Start + "\r\npart");
  }
  scripted_instance::close(Upload.Instance, true);
  const instance_result &Result = Upload.awaitResult();
  CHECK(Result.Outcome == run_outcome::Unknown);
  CHECK(Result.Cause == run_cause::NoValidResponse);
  CHECK(Result.ReachedInstance);
}

TEST_CASE("an answer without length that ends in order while the upload is "
          "being written is not lost") {
  upload_fixture Upload;
  SUBCASE("it ends after the client has read a part of it") {
    Upload.answerAndAwaitRead(Start + "\r\nwh");
    scripted_instance::send(Upload.Instance, "ole");
  }
  SUBCASE("it ends at once") {
    scripted_instance::send(Upload.Instance, Start + "\r\nwhole");
  }
  boost::system::error_code Ignored; // A failure shows in the result.
  Upload.Instance.shutdown(socket::shutdown_send, Ignored);
  const instance_result &Result = Upload.awaitResult();
  CHECK(Result.Outcome == run_outcome::Completed);
  CHECK(Result.Response.Body == "whole");
}

TEST_CASE("an answer with a length that is whole before its connection is "
          "reset is not lost") {
  upload_fixture Upload;
  Upload.answerAndAwaitRead(Start + "Content-Length: 5\r\n\r\nwho");
  scripted_instance::send(Upload.Instance, "le");
  const instance_result &Result = Upload.awaitResult();
  scripted_instance::close(Upload.Instance, true);
  CHECK(Result.Outcome == run_outcome::Completed);
  CHECK(Result.Response.Body == "whole");
}
