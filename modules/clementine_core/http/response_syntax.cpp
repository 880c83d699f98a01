#include "clementine_core/http/response_syntax.h"

namespace clementine {

namespace {

constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;

} // namespace

bool isInterimStatus(unsigned Status) {
  return Status >= FirstInterimStatus && Status < FirstFinalStatus &&
         Status != SwitchingProtocols;
}

bool isFinalStatus(unsigned Status) {
  return Status >= FirstFinalStatus && Status <= LastStatus;
}

} // namespace clementine
