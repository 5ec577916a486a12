/**
A sorted array of waiting jobs, best rank first. Insertion and removal find their place by
binary search; moving the tail is one native copy, cheap at the thousands of jobs that
admission lets wait.
*/

/** What the list orders by. Must not change while the item is in the list. */
export type Ranked = {
	order: number;
	/** Unique; settles equal orders, earlier first. */
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
		this.items.splice(this.findPlace(item), 0, item);
	}

	/** Removes an item; one that isn't in the list is left alone. */
	remove(item: Item): void {
		const place = this.findPlace(item);
		if (this.items[place] === item) {
			this.items.splice(place, 1);
		}
	}

	/** Index of the item, or where it would be inserted. */
	findPlace(item: Ranked): number {
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
