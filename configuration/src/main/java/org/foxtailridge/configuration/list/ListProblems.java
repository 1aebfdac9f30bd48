package org.foxtailridge.configuration.list;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the problems of one file. */
final class ListProblems {
    private final String mFile;
    private final List<ListProblem> mProblems = new ArrayList<>();

    ListProblems(String file) {
        mFile = file;
    }

    void add(int line, String key, String message) {
        mProblems.add(new ListProblem(mFile, line, key, message));
    }

    int count() {
        return mProblems.size();
    }

    void throwIfAny() {
        if (!mProblems.isEmpty()) {
            mProblems.sort(Comparator.comparingInt(ListProblem::line));
            throw new ListInvalidException(mProblems);
        }
    }
}
