export * from './reduceStore'
export * from './startStoreStandin'
export * from './StoreState'
