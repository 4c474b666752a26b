/// Changes of the store that reach a router by several ways at once, late and overtaken by one another: none
/// may be skipped for good.
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "peer_parent_p.h"
#include "platform/records_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kSteps = 7;

/// The store's history: upstreams come, and each leaves by saying so or by going.
struct History
{
	std::vector<StoreItem> changes; ///< The revision of each is its place, from 1.
	std::vector<uint64_t> leftAt;   ///< Of each upstream, by number; 0: it has not left.

	uint64_t revision() const
	{
		return changes.size();
	}

	void add(size_t _upstream, bool _deleted, const char* _state)
	{
		StoreItem item;
		item.key = fmt::format("{}u-{}", platform::kUpstreamPrefix, _upstream);
		item.value =
			_deleted
				? ""
				: fmt::format(R"({{"service":"app","address":"127.0.0.1:9","zone":"hall-a","version":"v1",)"
							  R"("slots":8,"cold_remaining_ms":0,"sequence":1,"state":"{}"}})",
							  _state);
		item.revision = revision() + 1;
		item.deleted = _deleted;
		changes.push_back(item);
	}

	std::vector<StoreItem> between(uint64_t _from, uint64_t _to) const
	{
		return {changes.begin() + int64_t(_from), changes.begin() + int64_t(_to)};
	}

	StoreList listAt(uint64_t _revision) const
	{
		std::map<std::string, StoreItem> items;
		for (const StoreItem& item : between(0, _revision))
		{
			items[item.key] = item;
		}
		StoreList list{_revision, {}, false};
		for (const auto& [key, item] : items)
		{
			if (!item.deleted)
			{
				list.items.push_back(item);
			}
		}
		return list;
	}
};

struct ChangeOrder : testing::Test
{
	DirectRouter router{"", DirectSettings{}};
	History history;
	uint64_t parentKnows = 0;
	std::deque<std::function<void()>> fromParent; ///< In order, and late.
	std::function<void()> answer;                 ///< Of the own call under way; empty: none is.

	void change()
	{
		const size_t upstream = *rc::gen::inRange<size_t>(0, history.leftAt.size() + 1);
		if (upstream == history.leftAt.size())
		{
			history.leftAt.push_back(0);
			history.add(upstream, false, "ready");
			return;
		}
		const bool goes = *rc::gen::arbitrary<bool>();
		const bool leaves = history.leftAt[upstream] == 0;
		history.add(upstream, goes, "draining");
		history.leftAt[upstream] = leaves ? history.revision() : history.leftAt[upstream];
	}

	/// A watch or a list as the store answers now; it arrives later.
	void callStore()
	{
		if (answer)
		{
			return;
		}
		const uint64_t known = router.view.revision;
		const uint64_t now = history.revision();
		if (router.view.listed)
		{
			const StoreList changes{now, history.between(known, now), false};
			answer = [this, changes] {
				takeStoreChanges(router, changes, StoreWay::Watch);
			};
			return;
		}
		const StoreList list = history.listAt(now);
		answer = [this, list] {
			takeStoreList(router, list, StoreWay::List);
		};
	}

	void parentLearns(bool _lists)
	{
		const uint64_t from = parentKnows;
		parentKnows = *rc::gen::inRange<uint64_t>(from, history.revision() + 1);
		if (_lists)
		{
			const StoreList list = history.listAt(parentKnows);
			fromParent.emplace_back([this, list] {
				takeSnapshotOfParent(router, {list.revision, list.items});
			});
			return;
		}
		const StoreChanges changes{from, parentKnows, history.between(from, parentKnows)};
		fromParent.emplace_back([this, changes] { takeChangesOfParent(router, changes); });
	}

	void step(uint32_t _kind)
	{
		switch (_kind)
		{
		case 0:
			change();
			break;
		case 1:
			callStore();
			break;
		case 2:
			if (answer)
			{
				std::exchange(answer, nullptr)();
			}
			break;
		case 3:
			parentLearns(*rc::gen::inRange(0, 4) == 0);
			break;
		case 4:
			if (!fromParent.empty())
			{
				const std::function<void()> message = std::move(fromParent.front());
				fromParent.pop_front();
				message();
			}
			break;
		case 5: // Another parent, which knows less or more.
			fromParent.clear();
			parentKnows = *rc::gen::inRange<uint64_t>(0, history.revision() + 1);
			break;
		default: // The history is lost: a watch under way gets no answer.
			answer = nullptr;
			router.view.listed = false;
			break;
		}
	}

	/// @returns Whether an upstream is in use though it left within what this router claims to know.
	bool usesOneThatLeft() const
	{
		bool uses = false;
		for (size_t ii = 0; ii < history.leftAt.size(); ++ii)
		{
			const auto idx = router.upstreams.idxOfId.find(fmt::format("u-{}", ii));
			const bool knowsThatItLeft =
				router.view.listed && history.leftAt[ii] != 0 && history.leftAt[ii] <= router.view.revision;
			uses = uses || (knowsThatItLeft && idx != router.upstreams.idxOfId.end() &&
							maySendTo(router.upstreams, UpstreamId{idx->second}, monotonicNow()));
		}
		return uses;
	}
};

RC_GTEST_FIXTURE_PROP(ChangeOrder, AnUpstreamThatLeftIsNotUsedByARouterThatClaimsToKnowIt, ())
{
	const auto kinds = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, kSteps));
	for (const uint32_t kind : kinds)
	{
		const uint64_t before = router.view.revision;
		step(kind);
		RC_ASSERT(router.view.revision >= before);
		RC_ASSERT(!usesOneThatLeft());
	}
}
} // namespace
} // namespace spanplank
