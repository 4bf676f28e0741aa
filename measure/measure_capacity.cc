#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <functional>
#include <memory>
#include <vector>

#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/fair_queue.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/operator/caller_key.h"
#include "dragonflyglade/operator/catalog.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr const char* kPool = "p";

// CPU time (user and system) that this process has used so far.
double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

// Prints the mean CPU time of one call.
void PrintCost(const std::string& name, int calls,
               const std::function<void(int)>& call) {
  const double start = CpuSeconds();
  for (int i = 0; i < calls; ++i) call(i);
  PrintFigure("capacity." + name, 1e6 * (CpuSeconds() - start) / calls,
              "us_cpu");
}

std::vector<RecordVersion> MakeRecords(int models, int workspaces) {
  std::vector<RecordVersion> records;
  std::int64_t revision = 0;
  const auto add = [&](const std::string& path, const std::string& value) {
    records.push_back(
        RecordVersion{"config/" + path, ++revision, value, false});
  };
  for (int i = 0; i < models; ++i) {
    add(fmt::format("model/v1/model-{:04}", i),
        R"({"pool":"p","version":"1","bytes":300000,"max_output_tokens":400})");
  }
  for (int i = 0; i < workspaces; ++i) {
    add(fmt::format("workspace/v1/workspace-{:04}", i), "{}");
    add(fmt::format("rate/v1/workspace-{:04}", i),
        R"({"tokens_per_second":20000,"burst_tokens":40000})");
  }
  return records;
}

void MeasureConfiguration() {
  for (const int models : {200, 2000}) {
    const std::vector<RecordVersion> records = MakeRecords(models, models / 10);
    const double before = ResidentBytes();
    std::vector<std::shared_ptr<const Catalog>> catalogs;
    CatalogBuilder builder;
    PrintCost(fmt::format("catalog.{}_models.first", models), 1,
              [&](int) { catalogs.push_back(builder.Build(1, records)); });
    PrintCost(fmt::format("catalog.{}_models.rebuild", models), 5,
              [&](int) { catalogs.push_back(builder.Build(1, records)); });
    PrintFigure(fmt::format("capacity.catalog.{}_models.memory", models),
                (ResidentBytes() - before) / 1024, "KiB");
  }
}

void MeasureAdmission() {
  Catalog catalog;
  const CallerKey key = NewCallerKey();
  const std::string salt = NewSalt();
  catalog.keys[key.id] =
      KeyRecord{key.id, "w", salt, SaltedDigest(salt, key.secret), false};
  const std::string key_text = key.ToString();
  PrintCost("key.check", 20'000,
            [&](int) { FindKeyRecord(catalog, key_text); });

  ManualClock manual;
  DistributedRateLimiter shares("i0", 1, RateLimiterOptions{}, Clock(&manual));
  Allotment allotment{"w", 1, {}};
  for (int i = 0; i < 4; ++i) {
    allotment.owners.push_back(OwnerShare{fmt::format("i{}", i), 1,
                                          kFullShareMillionths / 4,
                                          kFullShareMillionths / 4, 0});
  }
  shares.SetRate("w", RateLimit{1e9, 1e9});
  shares.ApplyAllotment(allotment);
  manual.Advance(absl::Seconds(10));
  PrintCost("shares.admit_and_settle", 100'000, [&](int) {
    manual.Advance(absl::Microseconds(10));
    Admission admission = shares.BeginAdmission("w", 10, absl::ZeroDuration());
    for (int step = 0; step < 4; ++step) {
      if (std::holds_alternative<Admitted>(shares.Next(admission))) break;
      shares.CompleteLoan(admission, "i1", std::nullopt);
    }
    shares.RefundUnused(admission, 5);
  });
  PrintCost("shares.lend", 100'000, [&](int) {
    manual.Advance(absl::Milliseconds(1));
    shares.LendTokens("w", 10, absl::ZeroDuration());
  });
  const double before = ResidentBytes();
  constexpr int kWorkspaces = 2000;
  for (int i = 0; i < kWorkspaces; ++i) {
    Allotment each = allotment;
    each.workspace = fmt::format("workspace-{:04}", i);
    shares.SetRate(each.workspace, RateLimit{1000, 1000});
    shares.ApplyAllotment(each);
  }
  PrintFigure("capacity.shares.memory_per_workspace",
              (ResidentBytes() - before) / kWorkspaces, "bytes");
}

void MeasureTargets() {
  for (const int count : {24, 100, 475}) {
    ManualClock manual;
    manual.Advance(absl::Hours(1));
    TargetRegistry registry(TargetOptions{}, Clock(&manual), 1);
    std::vector<ListedTarget> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      list.push_back(ListedTarget{fmt::format("t{:04}", i), "10.0.0.1", 8000,
                                  "a", kPool, false});
    }
    registry.ApplyTargetList(1, list);
    for (const ListedTarget& target : list) {
      LoadReport report;
      report.slots = 8;
      report.boot_id = "1";
      report.resident = {"m0", "m1", "m2", "m3"};
      registry.ApplyLoadReport(kPool, target.name, report);
    }
    TargetRequirements requirements;
    requirements.pool = kPool;
    requirements.model = "m1";
    requirements.zone = "a";
    requirements.prefix = 99;
    requirements.tokens = 1000;
    PrintCost(fmt::format("targets.{}.take_and_finish", count), 2000, [&](int) {
      const auto reservation = registry.ReserveTarget(requirements);
      if (const auto* reserved = std::get_if<TargetReservation>(&reservation)) {
        registry.ReleaseTarget(*reserved, RequestOutcome::kSucceeded);
      }
    });
  }
}

void MeasureMembers() {
  for (const int count : {6, 400}) {
    ManualClock manual;
    MemberStatus self;
    self.info.name = "self";
    self.incarnation = 1;
    const double before = ResidentBytes();
    Membership membership(self, MembershipOptions{}, Clock(&manual), 1);
    InstanceList list;
    list.version = 1;
    for (int i = 0; i < count; ++i) {
      ListedInstance listed;
      listed.info =
          MemberInfo{fmt::format("entry-{:04}", i), "10.0.0.1", 1, 2, "zone-a"};
      list.instances.push_back(listed);
    }
    membership.ApplyInstanceList(list);
    PrintCost(fmt::format("members.{}.round", count), 2000, [&](int i) {
      membership.Tick();
      const auto next = membership.NextToProbe();
      MemberStatus sender = *next;
      sender.incarnation = 1;
      sender.sequence = i / count;
      membership.Receive(sender, membership.UpdatesFor(next->info.name));
    });
    PrintCost(fmt::format("members.{}.active_and_owner", count), 200, [&](int) {
      RendezvousOwners("role", membership.ActiveNames(), 2);
    });
    PrintFigure(fmt::format("capacity.members.{}.memory", count),
                (ResidentBytes() - before) / 1024, "KiB");
  }
}

void MeasureQueue() {
  for (const int waiting : {10, 1000}) {
    FairQueue queue(absl::Seconds(5), 8);
    for (int i = 0; i < waiting; ++i) {
      queue.Push(QueueEntry{static_cast<std::uint64_t>(i),
                            fmt::format("w{}", i % 20), RequestClass::kChat,
                            100, "m", Instant()});
    }
    PrintCost(
        fmt::format("queue.{}_waiting.push_and_pop", waiting), 10'000,
        [&](int i) {
          queue.Push(QueueEntry{1'000'000u + static_cast<unsigned>(i),
                                fmt::format("w{}", i % 20), RequestClass::kChat,
                                100, "m", Instant()});
          queue.Pop(Instant());
        });
  }
}

}  // namespace

void MeasureCapacity(const MeasureOptions&) {
  // Runs first: memory that other benchmarks have freed would be reused here
  // and make the growth of the resident set too small.
  MeasureAdmission();
  MeasureConfiguration();
  MeasureTargets();
  MeasureMembers();
  MeasureQueue();
}

}  // namespace dragonflyglade
