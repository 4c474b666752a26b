/// Prompts that share one part on which each engine ends that begins to answer.
#include <algorithm>

#include "crashing_fleet.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kPromptMs = 150;           ///< Between two prompts with the part.
constexpr TimeUs kContact = 3000 * kMsToUs;   ///< Until all routers know what one of them has seen.
constexpr size_t kFoundAt = 5;                ///< Ends after which that time counts.
constexpr size_t kMostLate = 3;               ///< Arrivals at engines after it.
constexpr TimeUs kRecovered = 2 * kContact;   ///< From the fifth end until sound prompts are served again.
constexpr TimeUs kSoundTime = 2000 * kMsToUs; ///< For which they are counted then.
constexpr TimeUs kLongest = 20000 * kMsToUs;  ///< Of a test, if fewer engines end.
constexpr double kSoundShare = 0.9;           ///< Of sound prompts that are served.
constexpr uint32_t kLateFirstEventMs = 2000;  ///< Longer than the engine lives.

/// The shared parts of two kinds of prompts.
struct PromptShapes
{
	std::vector<std::string> ending; ///< With the part on which engines end.
	std::vector<std::string> sound;
	bool shuffled = false; ///< Sound prompts have their parts in changing orders.
};

/// @returns Parts with their lengths in tokens, and a last part of the prompt's own.
std::string prefixOf(std::vector<std::string> _shared, size_t _own)
{
	_shared.push_back(fmt::format("{:x}", 0x100000 + _own));
	std::string text;
	for (const std::string& part : _shared)
	{
		text += fmt::format("{}{}:40", text.empty() ? "" : ",", part);
	}
	return text;
}

struct CrashingPartFleet : CrashingFleet
{
	size_t sent = 0;
	TimeUs countFrom = 0; ///< Sound prompts are counted from here; 0: not yet known.
	size_t sound = 0;
	size_t served = 0;
	bool over = false;
	uint32_t callersLeaveMs = 0; ///< After which callers of prompts with the part leave; 0: they stay.

	CrashingPartFleet()
	{
		firstEventMs = kLateFirstEventMs;
	}

	int sendPrompt(size_t _router, const std::vector<std::string>& _shared, HttpCancel* _cancel = nullptr)
	{
		const size_t own = sent++;
		return send(_router, "POST", fmt::format("/chat/{}", own), fmt::format("prompt {}", own), nullptr,
					{{"Prompt-Prefix", prefixOf(_shared, own)}}, _cancel);
	}

	/// Sends a prompt whose caller may leave before its answer.
	void sendHasty(size_t _router, const std::vector<std::string>& _shared)
	{
		HttpCancel cancelled;
		bool answered = false;
		together({[&] {
					  sendPrompt(_router, _shared, &cancelled);
					  answered = true;
				  },
				  [&] {
					  sleepFor(callersLeaveMs);
					  if (!answered && callersLeaveMs != 0)
					  {
						  cancel(cancelled);
					  }
				  }});
	}

	/// Arrivals of prompts with the part at engines, later than all routers could know of it.
	size_t lateArrivals() const
	{
		if (ends.size() < kFoundAt)
		{
			return 0;
		}
		const TimeUs bound = ends[kFoundAt - 1] + kContact;
		return size_t(
			std::count_if(arrivals.begin(), arrivals.end(), [bound](TimeUs _at) { return _at > bound; }));
	}

	/// Sends prompts with the part at the routers in turn, until sound ones have been counted for a while.
	void sendEnding(const PromptShapes& _shapes)
	{
		const TimeUs begin = monotonicNow();
		for (size_t ii = 0; !over; ++ii)
		{
			spawnFiber([this, &_shapes, ii] {
				++returns;
				sendHasty(ii % kRouters, _shapes.ending);
				--returns;
			});
			sleepFor(kPromptMs);
			const TimeUs now = monotonicNow();
			const TimeUs known = ends.empty() ? begin + kLongest : ends[std::min(ends.size(), kFoundAt) - 1];
			countFrom = known + kRecovered;
			over = now > countFrom + kSoundTime || now > begin + kLongest;
		}
	}

	void sendSound(size_t _router, const PromptShapes& _shapes)
	{
		std::vector<std::string> shared = _shapes.sound;
		while (!over)
		{
			if (_shapes.shuffled)
			{
				std::rotate(shared.begin(), shared.begin() + 1, shared.end());
			}
			const TimeUs at = monotonicNow();
			const bool whole = sendPrompt(_router, shared) == 200;
			const bool counts = countFrom != 0 && at > countFrom;
			sound += counts ? 1 : 0;
			served += counts && whole ? 1 : 0;
			sleepFor(kWorkMs);
		}
	}

	void play(const PromptShapes& _shapes)
	{
		std::vector<std::function<void()>> bodies{[&] {
			sendEnding(_shapes);
		}};
		for (size_t router = 0; router < kRouters; ++router)
		{
			bodies.push_back([&, router] { sendSound(router, _shapes); });
		}
		together(bodies);
	}

	void expectRefused() const
	{
		EXPECT_LE(lateArrivals(), kMostLate) << ends.size() << " ended, " << arrivals.size() << " arrivals";
		EXPECT_GE(double(served), kSoundShare * double(sound)) << served << " of " << sound;
		EXPECT_GT(sound, 0u);
	}
};

// Routers knew a request by its whole content alone: each new prompt with the part ended engines of its own.
TEST_F(CrashingPartFleet, APartInTheMiddleOfPromptsIsRefusedAtAllRouters)
{
	play({{"a0", kPoisonPart}, {"a0", "b1"}});
	expectRefused();
}

TEST_F(CrashingPartFleet, TheFirstPartOfPromptsIsRefusedAtAllRouters)
{
	play({{kPoisonPart, "b1"}, {"a0", "b1"}});
	expectRefused();
}

TEST_F(CrashingPartFleet, APartIsRefusedWhoseAnswersBeginBeforeTheEnd)
{
	firstEventMs = 1;
	play({{"a0", kPoisonPart}, {"a0", "b1"}});
	expectRefused();
}

TEST_F(CrashingPartFleet, APartAmongOthersInChangingOrdersIsRefused)
{
	play({{"a0", "b1", kPoisonPart, "c2"}, {"a0", "b1", "c2"}, true});
	expectRefused();
}

// A router that had closed an attempt did not count it at the crash that followed.
TEST_F(CrashingPartFleet, APartIsRefusedWhoseCallersLeaveBeforeTheEnd)
{
	callersLeaveMs = kCrashMs / 2;
	play({{"a0", kPoisonPart}, {"a0", "b1"}});
	expectRefused();
}

TEST_F(CrashingPartFleet, RoutersThatAllStartBlankAtOnceRefuseThePart)
{
	constexpr size_t kPrompts = 8;
	const auto sendAll = [this] {
		for (size_t ii = 0; ii < kPrompts; ++ii)
		{
			sendPrompt(ii % kRouters, {"a0", kPoisonPart});
			sleepFor(kPromptMs);
		}
	};
	sendAll();
	const size_t before = ends.size();
	EXPECT_LE(before, kFoundAt);
	sleepFor(2 * kRepeatMs);
	for (const auto& router : routers)
	{
		router->killHard();
	}
	for (const auto& router : routers)
	{
		router->start();
	}
	awaitRegistered();
	ASSERT_TRUE(eventually([this] { return upPlaces() == kCrashingUpstreams; }));
	sendAll();
	EXPECT_EQ(ends.size(), before);
	EXPECT_EQ(sendPrompt(0, {"a0", "b1"}), 200) << "the part beside it is harmless";
}

// All prompts share two parts, and engines end by themselves.
TEST_F(CrashingPartFleet, PartsOfAllPromptsAreServedWhileEnginesEndByThemselves)
{
	constexpr size_t kCalls = 40;
	served = callWhileUpstreamsEnd(kRouters, kCalls, [this](size_t _caller, size_t) {
		return sendPrompt(_caller, {"a0", "b1"});
	});
	EXPECT_EQ(served, kRouters * kCalls);
	EXPECT_EQ(total("spanplank_answers_total{kind=\"ends_upstreams\"}"), 0.0);
}
} // namespace
} // namespace spanplank
