export * from './startNode'
