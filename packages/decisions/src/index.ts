export {createLender, type Lender} from './lender.js';
export type * from './lending.js';
export {keepsSlot as chooseReuse, rankJob, type RankInput} from './rank.js';
export {estimateRunMs, type RunEstimate} from './run-estimate.js';
export {RankedList, type Ranked} from './ranked-list.js';
