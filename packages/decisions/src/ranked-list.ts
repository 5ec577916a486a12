/**
A sorted array, lowest order first; holds the waiting jobs by rank. Insertion and removal use binary search.
Moving the tail is one native copy, which is cheap for the thousands of waiting jobs that admission allows.
*/

/** The sort key. Must not change while the item is in the list. */
export type Ranked = {
	order: number;
	/** Unique; among items of equal `order` the lower one goes first. */
	sequence: number;
};

export class RankedList<Item extends Ranked> {
	readonly items: Item[] = [];

	get first(): Item | undefined {
		return this.items[0];
	}

	get size(): number {
		return this.items.length;
	}

	insert(item: Item): void {
		this.items.splice(this.findPosition(item), 0, item);
	}

	/** Removes an item; does nothing if it isn't in the list. */
	remove(item: Item): void {
		const index = this.findPosition(item);
		if (this.items[index] === item) {
			this.items.splice(index, 1);
		}
	}

	/** Index of the item, or the index at which it would be inserted. */
	findPosition(item: Ranked): number {
		let low = 0;
		let high = this.items.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareRanked(this.items[middle]!, item) < 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareRanked(a: Ranked, b: Ranked): number {
	return a.order - b.order || a.sequence - b.sequence;
}
