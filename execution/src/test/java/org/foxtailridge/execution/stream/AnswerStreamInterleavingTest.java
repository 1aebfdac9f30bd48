package org.foxtailridge.execution.stream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks what a caller receives against the answer of an engine that never fails. */
class AnswerStreamInterleavingTest {
    @Property(seed = "66", tries = 10_000, shrinking = ShrinkingMode.OFF)
    void should_deliver_the_whole_answer_or_say_that_it_failed(@ForAll long seed) {
        new Run(seed, new StreamRules()).run();
    }

    static Stream<StreamRules> mutations() {
        return Stream.of(
                new StreamRules() {
                    @Override
                    boolean isSameRequest(String expected, String found) {
                        return true;
                    }
                },
                new StreamRules() {
                    @Override
                    boolean isCurrentAttempt(String expected, String found) {
                        return true;
                    }
                },
                new StreamRules() {
                    @Override
                    boolean isDuplicate(int expectedIndex, int foundIndex) {
                        return false;
                    }
                },
                new StreamRules() {
                    @Override
                    boolean isGap(int expectedIndex, int foundIndex) {
                        return false;
                    }
                },
                new StreamRules() {
                    @Override
                    boolean isWhole(Optional<String> finishReason) {
                        return true;
                    }
                },
                new StreamRules() {
                    @Override
                    int firstIndexOf(int deliveredTokens) {
                        return 0;
                    }
                });
    }

    @ParameterizedTest
    @MethodSource("mutations")
    void should_catch_a_broken_rule(StreamRules mutation) {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 0; seed < 2_000; seed++) {
                                new Run(seed, mutation).run();
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    /** One request over engines that break off, repeat, skip, cross answers and die. */
    private static final class Run {
        private static final String REQUEST = "request-1";
        private static final int LARGEST_STEPS = 500;

        private final UniformRandomProvider mRandom;
        private final AnswerStream mStream;
        private final int mLength;
        private final List<String> mReceived = new ArrayList<>();
        private final List<TokenEvent> mOld = new ArrayList<>();
        private String mAttempt = "";
        private int mBase;
        private int mNext;
        private int mAttempts;
        private boolean mComplete;
        private boolean mFailed;

        private Run(long seed, StreamRules rules) {
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            mLength = 1 + mRandom.nextInt(12);
            mStream =
                    AnswerStream.builder(REQUEST)
                            .mayRepeatElsewhere(mRandom.nextInt(4) > 0)
                            .maximumResumes(mRandom.nextInt(6))
                            .maximumKeptCharacters(mRandom.nextInt(4) == 0 ? 9 : 1000)
                            .rules(rules)
                            .build();
        }

        private void run() {
            begin(0);
            for (int step = 0; step < LARGEST_STEPS && !mStream.isOver(); step++) {
                step();
                check();
            }
            assertThat(mComplete).as("one end").isNotEqualTo(mFailed);
            if (mComplete) {
                assertThat(mReceived).hasSize(mLength);
            }
            int before = mReceived.size();
            follow(mStream.tokenArrived(token(mLength - 1)));
            assertThat(mReceived).hasSize(before);
        }

        private void step() {
            switch (mRandom.nextInt(12)) {
                case 0 -> follow(mStream.tokenArrived(ofOtherRequest()));
                case 1 -> repeatOld();
                case 2 -> mNext = Math.max(mBase, mNext - 1 - mRandom.nextInt(3));
                case 3 -> mNext = Math.min(mLength, mNext + mRandom.nextInt(2));
                case 4 -> follow(mStream.connectionLost(mAttempt));
                case 5 -> endEarly();
                default -> send();
            }
        }

        private void send() {
            if (mNext >= mLength) {
                follow(mStream.ended(mAttempt));
                return;
            }
            TokenEvent event = token(mNext++);
            mOld.add(event);
            follow(mStream.tokenArrived(event));
        }

        private void endEarly() {
            if (mRandom.nextInt(3) == 0) {
                follow(mStream.ended(mAttempt));
            }
        }

        private void repeatOld() {
            if (!mOld.isEmpty()) {
                follow(mStream.tokenArrived(mOld.get(mRandom.nextInt(mOld.size()))));
            }
        }

        private void follow(StreamStep step) {
            if (step instanceof StreamStep.Deliver deliver) {
                assertThat(deliver.index()).isEqualTo(mReceived.size());
                mReceived.add(deliver.text());
            } else if (step instanceof StreamStep.Complete) {
                mComplete = true;
            } else if (step instanceof StreamStep.Fail) {
                mFailed = true;
            } else if (step instanceof StreamStep.ResumeSameEngine resume) {
                resume(resume);
            } else if (step instanceof StreamStep.ResumeOtherEngine resume) {
                assertThat(resume.text()).isEqualTo(String.join("", mReceived));
                begin(resume.tokens());
            }
        }

        private void resume(StreamStep.ResumeSameEngine resume) {
            if (mRandom.nextInt(3) == 0) {
                follow(mStream.attemptUnknown(resume.attemptId()));
            } else {
                mNext = mBase + resume.lastIndex() + 1;
            }
        }

        private void begin(int tokens) {
            mAttempt = "attempt-" + mAttempts++;
            mBase = tokens;
            mNext = tokens;
            mStream.attemptBegan(mAttempt);
        }

        private TokenEvent token(int number) {
            return new TokenEvent(
                    REQUEST, mAttempt, number - mBase, "t" + number + " ", finish(number));
        }

        private TokenEvent ofOtherRequest() {
            return new TokenEvent("request-2", mAttempt, mNext - mBase, "wrong", Optional.empty());
        }

        private Optional<String> finish(int number) {
            return number == mLength - 1 ? Optional.of("stop") : Optional.empty();
        }

        private void check() {
            for (int index = 0; index < mReceived.size(); index++) {
                assertThat(mReceived.get(index)).isEqualTo("t" + index + " ");
            }
        }
    }
}
