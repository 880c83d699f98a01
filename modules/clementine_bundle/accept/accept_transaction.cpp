#include "clementine_bundle/accept/accept_transaction.h"

#include <utility>

namespace clementine {

namespace {

/// The maximum number of chunks that a full update is split into.
constexpr std::size_t MaxChunks =
    (MaxUpdateBytes + MaxChunkBytes - 1) / MaxChunkBytes;

class transaction_builder {
public:
  transaction_builder(const signed_bundle &Signed,
                      const std::optional<read_record> &Current,
                      const std::optional<bundle> &Previous)
      : Signed(Signed), Previous(Previous) {
    if (Current)
      Record = Current->Record;
    Record.Head = Signed.Head;
    Transaction.Compares.push_back(compareHeadWith(Current));
    Transaction.ReadsOnFailure.push_back(bundle_layout::headKey());
  }

  platform_transaction build() {
    if (!appendDelta())
      beginEpoch();
    put(bundle_layout::historyKey(Signed.Head.Version),
        encodeHead(Signed.Head));
    put(bundle_layout::headKey(), encodeRecord(Record));
    if (Signed.Head.Version > MaxKeptHeads)
      Transaction.Deletes.push_back(
          bundle_layout::historyKey(Signed.Head.Version - MaxKeptHeads));
    return std::move(Transaction);
  }

private:
  /// Adds the delta to the current epoch unless it is too large.
  /// @returns false if a new epoch has to begin at this version.
  bool appendDelta() {
    if (!Previous || Record.Epochs.empty())
      return false;
    const std::uint64_t Epoch = Record.Epochs.back();
    const std::string Delta =
        encodeUpdate({Signed.Head, Signed.Head.Version - 1,
                      deltaBetween(Previous, Signed.Content)});
    if (Delta.size() > MaxEpochDeltaBytes)
      return false;
    put(bundle_layout::updateKey(Epoch, Signed.Head.Version, 0), Delta);
    Record.DeltaBytes += Delta.size();
    return Signed.Head.Version - Epoch < MaxEpochVersions &&
           Record.DeltaBytes <= MaxEpochDeltaBytes;
  }

  void beginEpoch() {
    const std::uint64_t Version = Signed.Head.Version;
    const std::string FullUpdate = encodeUpdate(
        {Signed.Head, NoVersion, deltaBetween(std::nullopt, Signed.Content)});
    for (std::size_t Chunk = 0; Chunk * MaxChunkBytes < FullUpdate.size();
         ++Chunk)
      put(bundle_layout::updateKey(Version, Version, Chunk),
          FullUpdate.substr(Chunk * MaxChunkBytes, MaxChunkBytes));
    Record.DeltaBytes = 0;
    Record.Epochs.push_back(Version);
    if (Record.Epochs.size() > MaxKeptEpochs)
      deleteOldestEpoch();
  }

  void deleteOldestEpoch() {
    const std::uint64_t Epoch = Record.Epochs[0];
    const std::uint64_t Last = Record.Epochs[1];
    for (std::size_t Chunk = 0; Chunk < MaxChunks; ++Chunk)
      Transaction.Deletes.push_back(
          bundle_layout::updateKey(Epoch, Epoch, Chunk));
    for (std::uint64_t Version = Epoch + 1; Version <= Last; ++Version)
      Transaction.Deletes.push_back(
          bundle_layout::updateKey(Epoch, Version, 0));
    Record.Epochs.erase(Record.Epochs.begin());
  }

  void put(std::string Key, std::string Value) {
    Transaction.Puts.push_back({std::move(Key), std::move(Value)});
  }

  const signed_bundle &Signed;
  const std::optional<bundle> &Previous;
  accepted_record Record;
  platform_transaction Transaction;
};

} // namespace

platform_transaction
acceptTransaction(const signed_bundle &Signed,
                  const std::optional<read_record> &Current,
                  const std::optional<bundle> &Previous) {
  return transaction_builder(Signed, Current, Previous).build();
}

} // namespace clementine
