package org.agatestream.core

/** Refuses orders of coordinators that have been replaced. Not thread-safe. */
public class TermFence {
    /** The newest term that is known. */
    public var newest: CoordinatorTerm = CoordinatorTerm.NONE
        private set

    /** Records that [term] has begun. */
    public fun raise(term: CoordinatorTerm) {
        newest = maxOf(newest, term)
    }

    /** Returns whether an order given in [term] may be carried out; an order of a newer term ends all terms before it. */
    public fun admits(term: CoordinatorTerm): Boolean {
        raise(term)
        return term == newest
    }
}
