#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cxxtools/eventloop.h>

#include "GroupStandin.h"
#include "StoreStandin.h"

namespace camphorstep::standin {

/// What the platform does to all calls that promote a server.
enum class PromotionFault : std::uint8_t
{
  None,
  /// Refuses them without doing anything.
  Refuse,
  /// Does what it is asked and does not answer.
  LoseAnswers,
  /// Does what it is asked twice.
  Repeat,
};

/// A client account that is published.
struct StandinAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
};

/// A small site on loopback addresses: the platform's store and promotions,
/// and one group of backend servers, in a thread of its own.
class SiteStandin : public cxxtools::Connectable
{
public:
  static constexpr std::size_t kServers = 3;

  /// Uses the ports from a first one on. The servers' entries name the given
  /// addresses, or their own.
  explicit SiteStandin(std::uint16_t aFirstPort,
                       const std::vector<Address>& aServerAddresses = {},
                       std::size_t aServerCount = kServers);
  ~SiteStandin() override;

  SiteStandin(const SiteStandin&) = delete;
  SiteStandin& operator=(const SiteStandin&) = delete;

  Address StoreAddress() const { return At(0); }
  Address PromotionAddress() const { return At(1); }

  /// Runs a function in the site's thread and waits for it.
  void Do(const std::function<void()>& aAction);

  /// Publishes a configuration with the given database names, which have
  /// bounded staleness, the first excepted, which needs the primary.
  void Publish(std::uint64_t aVersion,
               const std::vector<std::string>& aDatabases);

  /// Sets the most connections to a server that configurations name from now
  /// on.
  void SetMaxConnections(std::uint32_t aMost) { mMaxConnections = aMost; }

  /// Has the configurations that are published from now on name client
  /// accounts. Routes named "open" need no key.
  void SetAccounts(const std::vector<StandinAccount>& aAccounts);

  /// Ends a server and removes its entry.
  void RemoveServer(std::size_t aServer);

  /// Where a server listens.
  Address ServerAddress(std::size_t aServer) const;

  GroupStandin& Group() { return mGroup; }
  HttpStandin& Promotions() { return mPromotions; }
  StoreStandin& Store() { return mStore; }

  /// What becomes of orders to promote from now on.
  void SetPromotionFault(PromotionFault aFault) { mPromotionFault = aFault; }

  /// Holders and fencing tokens of the orders to promote, in order.
  const std::vector<std::pair<std::string, std::uint64_t>>& Orders() const
  {
    return mOrders;
  }

private:
  /// Writes entries of other writers among those of the servers.
  void PutForeignEntries();
  Address At(int aOffset) const;
  std::vector<Address> ServerAddresses(std::size_t aServerCount) const;
  void HandlePromotion(const HttpRequest& aRequest);
  void OnWake(const cxxtools::Event& aEvent);

  std::uint16_t mFirstPort;
  std::uint32_t mMaxConnections = 32;
  /// The part of a configuration that names the accounts.
  std::string mAccountsText;
  cxxtools::EventLoop mLoop;
  StoreStandin mStore;
  HttpStandin mPromotions;
  PromotionFault mPromotionFault = PromotionFault::None;
  GroupStandin mGroup;
  std::vector<std::pair<std::string, std::uint64_t>> mOrders;
  std::mutex mMutex;
  std::vector<std::function<void()>> mActions;
  std::thread mThread;
};

}
